/** Measures the overhead of the daemon compared with a plain forwarder. */
@NullMarked
package io.chicorytrestle.bench.overhead;

import org.jspecify.annotations.NullMarked;
