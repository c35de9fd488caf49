/**
 * Prepares a small fleet for the quickstart, runs load and faults against it, and checks its
 * promises.
 */
@NullMarked
package io.chicorytrestle.bench.quickstart;

import org.jspecify.annotations.NullMarked;
