package io.chicorytrestle.gateway.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.chicorytrestle.core.fleet.ReaderRole;
import io.chicorytrestle.core.fleet.StoreContact;
import io.chicorytrestle.core.fleet.StorePosition;
import io.chicorytrestle.core.placement.Evacuations;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class FleetMembershipTest {

    private static final PeerAddress SELF = new PeerAddress("self", "10.0.0.0:9", "a");

    private final FleetMembership membership =
            new FleetMembership(SELF, List.of("10.0.0.1:9", "10.0.0.0:9"), new Random(1));

    @Test
    void testNextTargetsWhenNoPeerIsKnown() {
        assertThat(membership.nextTargets(StoreContact.FOLLOWING, 0), contains("10.0.0.1:9"));
    }

    @Test
    void testNextTargetsWhenPeerNamesOthers() {
        membership.recordHeartbeat(
                heartbeat("10.0.0.1:9", "a", false, List.of(peer("10.0.0.2:9", "a"))), 0);

        assertThat(membership.size(), equalTo(2));
        assertThat(membership.nextTargets(StoreContact.FOLLOWING, 1), hasItem("10.0.0.1:9"));
    }

    /** In a large fleet, an instance skips every other round and else sends to a random subset. */
    @Test
    void testNextTargetsWhenFleetIsLarge() {
        for (int peerNumber = 1; peerNumber <= 145; peerNumber++) {
            membership.recordHeartbeat(
                    heartbeat("10.0.1." + peerNumber + ":9", "a", false, List.of()), 0);
        }

        assertThat(membership.nextTargets(StoreContact.FOLLOWING, 1), is(empty()));
        assertThat(
                membership.nextTargets(StoreContact.FOLLOWING, 1), hasSize(FleetMembership.FANOUT));
    }

    /** A reader of the store sends a heartbeat to its whole zone in every round. */
    @Test
    void testNextTargetsWhenReaderIsInLargeFleet() {
        for (int peerNumber = 1; peerNumber <= 100; peerNumber++) {
            membership.recordHeartbeat(
                    heartbeat("10.0.1." + peerNumber + ":9", "a", false, List.of()), 0);
            membership.recordHeartbeat(
                    heartbeat("10.0.2." + peerNumber + ":9", "b", false, List.of()), 0);
        }

        assertThat(
                membership.nextTargets(StoreContact.READING, 1).stream()
                        .filter(address -> address.startsWith("10.0.1."))
                        .count(),
                equalTo(100L));
    }

    /**
     * Guards against instances of a zone that start together and therefore skip the same heartbeat
     * rounds: every instance of the other zone must get a heartbeat from one of them each round.
     */
    @Test
    void testNextTargetsWhenZoneStartedTogether() {
        List<FleetMembership> zoneMembers = new ArrayList<>();
        for (int memberNumber = 1; memberNumber <= 9; memberNumber++) {
            PeerAddress self = peer("10.0.1." + memberNumber + ":9", "a");
            FleetMembership zoneMember =
                    new FleetMembership(self, List.of(), new Random(memberNumber));
            for (int peerNumber = 1; peerNumber <= 9; peerNumber++) {
                zoneMember.recordHeartbeat(
                        heartbeat("10.0.1." + peerNumber + ":9", "a", false, List.of()), 0);
                zoneMember.recordHeartbeat(
                        heartbeat("10.0.2." + peerNumber + ":9", "b", false, List.of()), 0);
            }
            zoneMembers.add(zoneMember);
        }

        for (int round = 0; round < 6; round++) {
            Set<String> targets = new HashSet<>();
            for (FleetMembership zoneMember : zoneMembers) {
                targets.addAll(zoneMember.nextTargets(StoreContact.FOLLOWING, 1));
            }
            for (int peerNumber = 1; peerNumber <= 9; peerNumber++) {
                assertThat(targets, hasItem("10.0.2." + peerNumber + ":9"));
            }
        }
    }

    /** The time until an instance counts as unreachable grows with the fleet. */
    @Test
    void testIsReachableWhenFleetIsLarge() {
        for (int peerNumber = 1; peerNumber <= 145; peerNumber++) {
            membership.recordHeartbeat(
                    heartbeat("10.0.1." + peerNumber + ":9", "a", false, List.of()), 0);
        }

        assertThat(membership.isReachable("10.0.1.1:9", 10_000), is(true));
    }

    /** A peer that shuts down is removed at once, without waiting for its expiry. */
    @Test
    void testNextTargetsWhenPeerShutsDown() {
        membership.recordHeartbeat(heartbeat("10.0.0.2:9", "a", false, List.of()), 0);
        membership.recordHeartbeat(heartbeat("10.0.0.2:9", "a", true, List.of()), 1);

        assertThat(membership.isReachable("10.0.0.2:9", 2), is(false));
        assertThat(membership.size(), equalTo(0));
    }

    /** The third heartbeat comes so late that the peer counts as unreachable in between. */
    @Test
    void testRecordHeartbeatWhenPeerWasUnreachable() {
        assertThat(
                membership.recordHeartbeat(heartbeat("10.0.0.2:9", "a", false, List.of()), 0),
                is(true));
        assertThat(
                membership.recordHeartbeat(heartbeat("10.0.0.2:9", "a", false, List.of()), 400),
                is(false));
        assertThat(
                membership.recordHeartbeat(heartbeat("10.0.0.2:9", "a", false, List.of()), 9_000),
                is(true));
    }

    @Test
    void testExpireWhenPeerSendsNoHeartbeat() {
        membership.recordHeartbeat(heartbeat("10.0.0.2:9", "a", false, List.of()), 0);
        membership.expire(FleetMembership.EXPIRY_MILLIS + 1);

        assertThat(membership.size(), equalTo(0));
    }

    @Test
    void testReachableZoneAddressesWhenZonesDiffer() {
        membership.recordHeartbeat(heartbeat("10.0.0.2:9", "a", false, List.of()), 0);
        membership.recordHeartbeat(heartbeat("10.0.0.3:9", "a", false, List.of()), 0);
        membership.recordHeartbeat(heartbeat("10.0.0.4:9", "b", false, List.of()), 0);

        assertThat(
                membership.reachableZoneAddresses(1),
                containsInAnyOrder("10.0.0.2:9", "10.0.0.3:9"));
    }

    @Test
    void testZoneStoreContactsWhenReaderTimedOut() {
        membership.recordHeartbeat(heartbeat("10.0.0.2:9", "a", false, List.of()), 0);

        assertThat(membership.zoneStoreContacts(0, 1).keySet(), contains("10.0.0.2:9"));
        assertThat(
                membership
                        .zoneStoreContacts(0, FleetMembership.STORE_READER_TIMEOUT_MILLIS + 1)
                        .keySet(),
                is(empty()));
    }

    /** Guards against relying on a reader that reads the store as it was before its restore. */
    @Test
    void testReaderRoleWhenAllReadersKnowAnEarlierEra() {
        recordReaders(1, 0);
        assertThat(
                membership.readerRole(StoreContact.FOLLOWING, 2, 1), equalTo(ReaderRole.PRIMARY));

        recordReaders(2, 400);
        assertThat(
                membership.readerRole(StoreContact.FOLLOWING, 2, 401),
                equalTo(ReaderRole.FOLLOWER));
    }

    private void recordReaders(long era, long nowMillis) {
        for (int index = 2; index < 12; index++) {
            membership.recordHeartbeat(
                    heartbeat("10.0.0." + index + ":9", "a", StoreContact.READING, era), nowMillis);
        }
    }

    @Test
    void testReadersWhenOneKnowsAnEarlierEra() {
        membership.recordHeartbeat(heartbeat("10.0.0.2:9", "b", StoreContact.READING, 1), 0);
        membership.recordHeartbeat(heartbeat("10.0.0.3:9", "b", StoreContact.READING, 2), 0);
        membership.recordHeartbeat(heartbeat("10.0.0.4:9", "b", StoreContact.READING, 3), 0);

        assertThat(membership.readers(2, 1), containsInAnyOrder("10.0.0.3:9", "10.0.0.4:9"));
        assertThat(membership.readers(0, 1), hasSize(3));
    }

    @Test
    void testZoneStoreContactsWhenPeersKnowAnEarlierEra() {
        membership.recordHeartbeat(heartbeat("10.0.0.2:9", "a", StoreContact.READING, 1), 0);
        membership.recordHeartbeat(heartbeat("10.0.0.3:9", "a", StoreContact.FOLLOWING, 1), 0);

        assertThat(
                membership.zoneStoreContacts(2, 1),
                equalTo(
                        Map.of(
                                "10.0.0.2:9", StoreContact.LOST,
                                "10.0.0.3:9", StoreContact.FOLLOWING)));
    }

    private static PeerAddress peer(String address, String zone) {
        return new PeerAddress(address, address, zone);
    }

    private static Heartbeat heartbeat(
            String address, String zone, boolean isEnding, List<PeerAddress> peers) {
        return heartbeat(address, zone, isEnding, peers, StoreContact.READING, 0);
    }

    private static Heartbeat heartbeat(
            String address, String zone, StoreContact storeContact, long era) {
        return heartbeat(address, zone, false, List.of(), storeContact, era);
    }

    private static Heartbeat heartbeat(
            String address,
            String zone,
            boolean isEnding,
            List<PeerAddress> peers,
            StoreContact storeContact,
            long era) {
        return new Heartbeat(
                peer(address, zone),
                1,
                1,
                new StorePosition(era, 1),
                isEnding,
                storeContact,
                Map.of(),
                Map.of(),
                List.of(),
                List.of(),
                peers,
                Map.of(),
                List.of(),
                Evacuations.UNKNOWN,
                true);
    }
}
