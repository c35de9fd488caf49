/** Logs, metrics and readiness. */
@NullMarked
package io.chicorytrestle.gateway.operations;

import org.jspecify.annotations.NullMarked;
