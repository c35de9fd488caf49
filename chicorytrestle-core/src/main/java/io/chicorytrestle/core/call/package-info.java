/** Calls to plain services: at-most-once execution by tickets, and replay of stored outcomes. */
@NullMarked
package io.chicorytrestle.core.call;

import org.jspecify.annotations.NullMarked;
