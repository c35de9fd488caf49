/**
 * A virtual-time scheduler and a simulated network between entry instances, for tests and
 * benchmarks.
 */
@NullMarked
package io.chicorytrestle.standin.virtual;

import org.jspecify.annotations.NullMarked;
