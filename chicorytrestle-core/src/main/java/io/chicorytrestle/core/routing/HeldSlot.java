package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.identity.EndpointIdentity;

/**
 * A slot that a leader granted to this entry instance.
 *
 * @param endpoint The endpoint's name and incarnation.
 * @param workspace The workspace that the slot counts against.
 * @param chatHash The hash of the chat.
 */
record HeldSlot(EndpointIdentity endpoint, String workspace, long chatHash) {

    /**
     * Converts this slot to its message form.
     *
     * @param requestNumber The number of the request.
     * @return The slot as reported.
     */
    LeaderMessage.ReportedSlot toReportedSlot(long requestNumber) {
        return new LeaderMessage.ReportedSlot(
                requestNumber, endpoint.name(), endpoint.incarnation(), workspace);
    }
}
