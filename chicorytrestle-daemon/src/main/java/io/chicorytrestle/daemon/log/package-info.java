/** Log fields for the lines that concern one request, and the logging of audit events. */
@NullMarked
package io.chicorytrestle.daemon.log;

import org.jspecify.annotations.NullMarked;
