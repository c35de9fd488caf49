/** Experiments on the routing of turns to engines, simulated in virtual time. */
@NullMarked
package io.chicorytrestle.bench.routing;

import org.jspecify.annotations.NullMarked;
