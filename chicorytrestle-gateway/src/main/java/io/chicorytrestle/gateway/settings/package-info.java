/** Reading, validation and reloading of the gateway's settings. */
@NullMarked
package io.chicorytrestle.gateway.settings;

import org.jspecify.annotations.NullMarked;
