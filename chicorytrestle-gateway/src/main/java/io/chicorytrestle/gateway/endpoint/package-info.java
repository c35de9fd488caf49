/** Connections to endpoints, which are kept open between requests. */
@NullMarked
package io.chicorytrestle.gateway.endpoint;

import org.jspecify.annotations.NullMarked;
