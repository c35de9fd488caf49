/**
 * The fleet's membership: the view of live and leaving entry instances and endpoints, which
 * instances build from the platform's list, own observations and gossip.
 */
@NullMarked
package io.chicorytrestle.core.membership;

import org.jspecify.annotations.NullMarked;
