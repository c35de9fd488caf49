/** Measures how fast requests that crash engines are detected and quarantined. */
@NullMarked
package io.chicorytrestle.bench.poison;

import org.jspecify.annotations.NullMarked;
