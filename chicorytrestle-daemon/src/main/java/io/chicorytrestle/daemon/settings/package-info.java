/** The daemon's settings: parsing, validation and a report of all faults at once. */
@NullMarked
package io.chicorytrestle.daemon.settings;

import org.jspecify.annotations.NullMarked;
