/** Decisions that instances take alike about themselves, without messages beyond their beats. */
@NullMarked
package io.chicorytrestle.core.fleet;

import org.jspecify.annotations.NullMarked;
