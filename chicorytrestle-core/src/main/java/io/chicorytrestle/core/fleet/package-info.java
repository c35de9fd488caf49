/** Decisions that instances make consistently from their heartbeats, without further messages. */
@NullMarked
package io.chicorytrestle.core.fleet;

import org.jspecify.annotations.NullMarked;
