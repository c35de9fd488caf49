/**
 * Selects an endpoint for each request within the pool's load bound. One entry instance, the
 * leader, admits the work of each pool; the other instances request slots from it and hold leases
 * over them.
 */
@NullMarked
package io.chicorytrestle.core.routing;

import org.jspecify.annotations.NullMarked;
