/**
 * The routing table: routes, services and workspaces, by which requests are authenticated and
 * assigned to services.
 */
@NullMarked
package io.chicorytrestle.core.route;

import org.jspecify.annotations.NullMarked;
