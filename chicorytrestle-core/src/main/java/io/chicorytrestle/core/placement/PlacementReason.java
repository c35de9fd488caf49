package io.chicorytrestle.core.placement;

import java.util.Locale;

/** Enumerates why an endpoint was chosen. */
public enum PlacementReason {

    /** The endpoint is the agreed home of the prompt's last shared part. */
    HOME,

    /**
     * The agreed home is at its load bound or unhealthy, so that a later one in its order serves.
     */
    SPILL,

    /** The endpoint has the least work among those of a plain service. */
    LEAST_LOADED;

    /**
     * Returns the name in log lines.
     *
     * @return The name in lower case.
     */
    public String logName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
