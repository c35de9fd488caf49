/**
 * Experiments on the control plane in virtual time: how tables propagate, how endpoints drain, and
 * what control traffic costs each entry instance.
 */
@NullMarked
package io.chicorytrestle.bench.control;

import org.jspecify.annotations.NullMarked;
