/**
 * Tickets that pin a call to one incarnation of an entry instance, and the ledger of their
 * outcomes.
 */
@NullMarked
package io.chicorytrestle.core.ticket;

import org.jspecify.annotations.NullMarked;
