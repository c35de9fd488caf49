/** Structured logging and metrics. */
@NullMarked
package io.chicorytrestle.gateway.operations;

import org.jspecify.annotations.NullMarked;
