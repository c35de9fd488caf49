/** One request's life, from its head to the end of its answer. */
@NullMarked
package io.chicorytrestle.gateway.exchange;

import org.jspecify.annotations.NullMarked;
