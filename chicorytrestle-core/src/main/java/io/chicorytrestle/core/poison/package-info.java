/** Detection and quarantine of requests that crash the endpoints that execute them. */
@NullMarked
package io.chicorytrestle.core.poison;

import org.jspecify.annotations.NullMarked;
