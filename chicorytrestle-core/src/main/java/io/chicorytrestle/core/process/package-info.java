/** What the operating system asks of this process. */
@NullMarked
package io.chicorytrestle.core.process;

import org.jspecify.annotations.NullMarked;
