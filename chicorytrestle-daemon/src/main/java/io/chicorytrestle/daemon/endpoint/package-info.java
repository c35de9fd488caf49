/**
 * HTTP clients of engines and plain services, which track whether a failed request may have run.
 */
@NullMarked
package io.chicorytrestle.daemon.endpoint;

import org.jspecify.annotations.NullMarked;
