/** HTTP connections on the event loop: Netty's HTTP codec over an ActiveJ socket. */
@NullMarked
package io.chicorytrestle.gateway.link;

import org.jspecify.annotations.NullMarked;
