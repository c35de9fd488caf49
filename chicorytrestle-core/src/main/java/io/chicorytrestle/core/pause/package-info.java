/**
 * The detection of pauses of this process, such as long garbage collections or a suspended machine.
 */
@NullMarked
package io.chicorytrestle.core.pause;

import org.jspecify.annotations.NullMarked;
