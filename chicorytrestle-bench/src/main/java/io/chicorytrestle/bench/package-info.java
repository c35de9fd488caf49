/** Experiments that measure the system, and the driver of the quickstart. */
@NullMarked
package io.chicorytrestle.bench;

import org.jspecify.annotations.NullMarked;
