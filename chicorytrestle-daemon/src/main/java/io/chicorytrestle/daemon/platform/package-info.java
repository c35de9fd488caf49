/** Clients of the platform's services: configuration service, instance list and weight store. */
@NullMarked
package io.chicorytrestle.daemon.platform;

import org.jspecify.annotations.NullMarked;
