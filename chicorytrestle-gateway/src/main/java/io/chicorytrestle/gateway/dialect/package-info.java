/** The translation between a deployment's HTTP headers and the gateway's types. */
@NullMarked
package io.chicorytrestle.gateway.dialect;

import org.jspecify.annotations.NullMarked;
