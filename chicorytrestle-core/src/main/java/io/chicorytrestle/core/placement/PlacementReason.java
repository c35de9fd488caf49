package io.chicorytrestle.core.placement;

import java.util.Locale;

/** Enumerates why an endpoint was chosen. */
public enum PlacementReason {

    /**
     * The endpoint is the home of the prompt's last shared part, which all instances determine
     * alike.
     */
    HOME,

    /**
     * The home is at its load bound or unhealthy, so that a later endpoint of the ranking serves
     * the request.
     */
    SPILL,

    /**
     * The endpoint has the lowest relative load: the request is plain, or every endpoint of the
     * ranking is at its bound.
     */
    LEAST_LOADED;

    /**
     * Returns the name that is written to the log.
     *
     * @return The name of the constant in lower case.
     */
    public String logName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
