/** The daemon process of an entry instance: its start, wiring and graceful shutdown. */
@NullMarked
package io.chicorytrestle.daemon;

import org.jspecify.annotations.NullMarked;
