/** The handling of one request, from the head of the request to the end of the response. */
@NullMarked
package io.chicorytrestle.gateway.exchange;

import org.jspecify.annotations.NullMarked;
