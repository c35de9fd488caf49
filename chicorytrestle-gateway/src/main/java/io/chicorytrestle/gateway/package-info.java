/** A gateway: the process that forwards callers' requests to endpoints. */
@NullMarked
package io.chicorytrestle.gateway;

import org.jspecify.annotations.NullMarked;
