/** The read-only HTTP interface for operators. */
@NullMarked
package io.chicorytrestle.daemon.operator;

import org.jspecify.annotations.NullMarked;
