/**
 * Stand-ins for the platform's services, the engines and the plain services, for tests and
 * benchmarks.
 */
@NullMarked
package io.chicorytrestle.standin;

import org.jspecify.annotations.NullMarked;
