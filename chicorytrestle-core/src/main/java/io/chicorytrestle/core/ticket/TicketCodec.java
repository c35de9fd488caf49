package io.chicorytrestle.core.ticket;

import io.chicorytrestle.core.verdict.RequestFailureException;

/** Encodes tickets and authenticates those that callers send. Implementations are thread-safe. */
public interface TicketCodec {

    /**
     * Encodes a ticket.
     *
     * @param ticket The ticket.
     * @return The encoded ticket, which can be used in a header or a path without escapes.
     */
    String encode(Ticket ticket);

    /**
     * Decodes a ticket and verifies that it is authentic and belongs to a workspace.
     *
     * @param encoded The encoded ticket.
     * @param workspace The workspace that sent the ticket.
     * @return The ticket, which may be expired.
     * @throws RequestFailureException If the ticket is malformed, forged or of another workspace.
     */
    Ticket decode(String encoded, String workspace) throws RequestFailureException;
}
