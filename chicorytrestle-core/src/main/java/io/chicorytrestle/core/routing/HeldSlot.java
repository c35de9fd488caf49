package io.chicorytrestle.core.routing;

import io.chicorytrestle.core.identity.EndpointIdentity;

/**
 * Holds a place that a steward granted.
 *
 * @param endpoint The endpoint's name and incarnation.
 * @param workspace The workspace that the place is counted for.
 * @param chatHash The hash of the chat.
 */
record HeldSlot(EndpointIdentity endpoint, String workspace, long chatHash) {

    /**
     * Returns the place as it is reported.
     *
     * @param number The number of the request.
     * @return The place.
     */
    LeaderMessage.ReportedSlot toReportedSlot(long number) {
        return new LeaderMessage.ReportedSlot(
                number, endpoint.name(), endpoint.incarnation(), workspace);
    }
}
