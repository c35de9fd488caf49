/** The interface towards callers: chat turns, calls of plain services, tickets. */
@NullMarked
package io.chicorytrestle.daemon.caller;

import org.jspecify.annotations.NullMarked;
