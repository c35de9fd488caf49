/** What instances tell each other. */
@NullMarked
package io.chicorytrestle.gateway.fleet;

import org.jspecify.annotations.NullMarked;
