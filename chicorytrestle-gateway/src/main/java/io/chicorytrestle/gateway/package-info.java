/** The gateway: the process that forwards requests of callers to endpoints. */
@NullMarked
package io.chicorytrestle.gateway;

import org.jspecify.annotations.NullMarked;
