/** Selects the endpoint of a request by cached prompt parts, load, health and zone. */
@NullMarked
package io.chicorytrestle.core.placement;

import org.jspecify.annotations.NullMarked;
