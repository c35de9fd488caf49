/** HTTP server for callers' connections. */
@NullMarked
package io.chicorytrestle.gateway.front;

import org.jspecify.annotations.NullMarked;
