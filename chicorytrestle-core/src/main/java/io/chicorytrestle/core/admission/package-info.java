/** Decides in which order an instance starts the requests that it has received. */
@NullMarked
package io.chicorytrestle.core.admission;

import org.jspecify.annotations.NullMarked;
