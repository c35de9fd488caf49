/** Connections of callers. */
@NullMarked
package io.chicorytrestle.gateway.front;

import org.jspecify.annotations.NullMarked;
