/**
 * The table of weights and limits that configures the fleet: its parsing, validation and
 * distribution to all entry instances.
 */
@NullMarked
package io.chicorytrestle.core.table;

import org.jspecify.annotations.NullMarked;
