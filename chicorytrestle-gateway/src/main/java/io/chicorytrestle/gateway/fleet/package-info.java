/** The exchange of state between instances. */
@NullMarked
package io.chicorytrestle.gateway.fleet;

import org.jspecify.annotations.NullMarked;
