package io.chicorytrestle.gateway.fleet;

import io.chicorytrestle.core.poison.CrashNotice;
import io.chicorytrestle.core.poison.PartCrashNotice;
import java.util.HashSet;
import java.util.Set;

/**
 * Keeps the crashes that instances report, and decides which peers to ask for those that it has
 * missed. Notices are sent for a few seconds only, so an instance that starts, or was cut off,
 * requests the rest from peers of which it hears anew. It is confined to the event loop's thread.
 */
final class CrashExchange {

    /** The maximum number of peers to ask at a time. */
    private static final int MAXIMUM_PEERS_TO_ASK = 3;

    /** The trackers of crashes, among others. */
    private final PeerObservations observations;

    /** The names of the peers whose records are missing. */
    private final Set<String> peersToAsk = new HashSet<>();

    /**
     * Creates an exchange that asks no peer yet.
     *
     * @param observations The trackers of crashes, among others.
     */
    CrashExchange(PeerObservations observations) {
        this.observations = observations;
    }

    /**
     * Records a peer of which nothing was heard for some time, or never before.
     *
     * @param peer The name of the peer.
     */
    void recordFoundPeer(String peer) {
        if (peersToAsk.size() < MAXIMUM_PEERS_TO_ASK) {
            peersToAsk.add(peer);
        }
    }

    /**
     * Returns {@code true} if a peer may know crashes that this instance has missed.
     *
     * @param peer The name of the peer.
     * @return {@code true} until its snapshot has arrived.
     */
    boolean shouldAsk(String peer) {
        return peersToAsk.contains(peer);
    }

    /**
     * Records the crashes that a heartbeat reports.
     *
     * @param heartbeat The heartbeat.
     * @param nowMillis The current time in milliseconds.
     */
    void record(Heartbeat heartbeat, long nowMillis) {
        for (CrashNotice crash : heartbeat.crashes()) {
            observations.crashes().recordNotice(crash, nowMillis);
        }
        for (PartCrashNotice crash : heartbeat.partCrashes()) {
            observations.partCrashes().recordNotice(crash, nowMillis);
        }
    }

    /**
     * Records the crashes that a snapshot contains.
     *
     * @param snapshot The snapshot.
     * @param nowMillis The current time in milliseconds.
     */
    void record(Snapshot snapshot, long nowMillis) {
        peersToAsk.remove(snapshot.sender());
        for (CrashNotice crash : snapshot.crashes()) {
            observations.crashes().recordKnown(crash, nowMillis);
        }
        for (PartCrashNotice crash : snapshot.partCrashes()) {
            observations.partCrashes().recordNotice(crash, nowMillis);
        }
    }
}
