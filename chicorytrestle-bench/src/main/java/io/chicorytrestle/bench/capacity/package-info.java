/**
 * Measurements of how state and time grow with size, and the cost at the target size extrapolated
 * from them.
 */
@NullMarked
package io.chicorytrestle.bench.capacity;

import org.jspecify.annotations.NullMarked;
