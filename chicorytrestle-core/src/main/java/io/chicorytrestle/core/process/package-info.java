/** The signals of the operating system to this process. */
@NullMarked
package io.chicorytrestle.core.process;

import org.jspecify.annotations.NullMarked;
