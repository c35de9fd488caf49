/** Checked settings of a gateway. */
@NullMarked
package io.chicorytrestle.gateway.settings;

import org.jspecify.annotations.NullMarked;
