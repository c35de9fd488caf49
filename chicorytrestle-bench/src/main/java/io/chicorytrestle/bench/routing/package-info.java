/**
 * Experiments on the routing of chat turns to engines: prompt cache reuse and load distribution of
 * a simulated fleet in virtual time.
 */
@NullMarked
package io.chicorytrestle.bench.routing;

import org.jspecify.annotations.NullMarked;
