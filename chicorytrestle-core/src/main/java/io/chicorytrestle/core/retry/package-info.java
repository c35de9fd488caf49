/** Retry policies, which decide whether a failed attempt is followed by another one. */
@NullMarked
package io.chicorytrestle.core.retry;

import org.jspecify.annotations.NullMarked;
