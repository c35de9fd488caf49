/** Pools of event loops, one thread each, and the clock that they share. */
@NullMarked
package io.chicorytrestle.daemon.loop;

import org.jspecify.annotations.NullMarked;
