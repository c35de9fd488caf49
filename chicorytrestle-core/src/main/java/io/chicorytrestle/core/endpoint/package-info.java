/** The interfaces and messages by which requests are sent to engines and plain services. */
@NullMarked
package io.chicorytrestle.core.endpoint;

import org.jspecify.annotations.NullMarked;
