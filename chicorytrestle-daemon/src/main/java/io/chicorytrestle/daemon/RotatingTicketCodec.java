package io.chicorytrestle.daemon;

import io.chicorytrestle.core.ticket.Ticket;
import io.chicorytrestle.core.ticket.TicketCodec;
import io.chicorytrestle.core.verdict.FailureCode;
import io.chicorytrestle.core.verdict.RequestFailureException;
import java.util.List;

/**
 * Signs tickets with one key and accepts the tickets of several keys, so that keys can be rotated
 * without refusing valid tickets.
 *
 * @param codecs The codecs of the keys, at least one. The first one signs.
 */
record RotatingTicketCodec(List<? extends TicketCodec> codecs) implements TicketCodec {

    /**
     * Creates a codec.
     *
     * @throws IllegalArgumentException If there is no codec.
     */
    RotatingTicketCodec {
        codecs = List.copyOf(codecs);
        if (codecs.isEmpty()) {
            throw new IllegalArgumentException("Cannot sign tickets without keys: " + codecs);
        }
    }

    @Override
    public String encode(Ticket ticket) {
        return codecs.get(0).encode(ticket);
    }

    @Override
    public Ticket decode(String encoded, String workspace) throws RequestFailureException {
        RequestFailureException refusal =
                RequestFailureException.notRun(FailureCode.TICKET_REFUSED, "Cannot accept ticket");
        for (TicketCodec codec : codecs) {
            try {
                return codec.decode(encoded, workspace);
            } catch (RequestFailureException exception) {
                refusal = exception;
            }
        }
        throw refusal;
    }
}
