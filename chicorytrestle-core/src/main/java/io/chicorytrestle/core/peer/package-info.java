/**
 * The interfaces by which controllers exchange messages with other entry instances, independent of
 * the transport.
 */
@NullMarked
package io.chicorytrestle.core.peer;

import org.jspecify.annotations.NullMarked;
