/** HTTP connections on the event loop: a codec from a library over a socket. */
@NullMarked
package io.chicorytrestle.gateway.link;

import org.jspecify.annotations.NullMarked;
