package io.chicorytrestle.core.membership;

import io.chicorytrestle.core.audit.AuditEvent;
import io.chicorytrestle.core.audit.AuditTrail;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Topics;
import java.util.Map;
import java.util.TreeMap;

/** Records how the view of the fleet changes. */
final class MembershipAuditor {

    /** Tells the version of the table in force. */
    private final Blackboard blackboard;

    /** Receives the changes. */
    private final AuditTrail auditTrail;

    /**
     * Creates a new recorder.
     *
     * @param blackboard Tells the version of the table in force.
     * @param auditTrail Receives the changes.
     */
    MembershipAuditor(Blackboard blackboard, AuditTrail auditTrail) {
        this.blackboard = blackboard;
        this.auditTrail = auditTrail;
    }

    /**
     * Records the members that differ.
     *
     * @param before The view before.
     * @param after The view after.
     * @param nowMillis The present time in milliseconds.
     */
    void recordChanges(MembershipView before, MembershipView after, long nowMillis) {
        Map<MemberKey, MemberStatus> older = statuses(before);
        Map<MemberKey, MemberStatus> newer = statuses(after);
        newer.forEach(
                (key, standing) -> {
                    MemberStatus known = older.get(key);
                    if (known == null) {
                        recordChanges(
                                AuditEvent.Kind.MEMBER_JOINED, key, "", standing.text(), nowMillis);
                    } else if (!known.equals(standing)) {
                        recordChanges(
                                standing.changeKind(),
                                key,
                                known.text(),
                                standing.text(),
                                nowMillis);
                    }
                });
        older.forEach(
                (key, standing) -> {
                    if (!newer.containsKey(key)) {
                        recordChanges(
                                AuditEvent.Kind.MEMBER_GONE, key, standing.text(), "", nowMillis);
                    }
                });
    }

    /**
     * Returns the standing of each member of a view.
     *
     * @param view The view.
     * @return The standings by member.
     */
    private static Map<MemberKey, MemberStatus> statuses(MembershipView view) {
        Map<MemberKey, MemberStatus> standings = new TreeMap<>();
        for (InstanceMember member : view.instances()) {
            standings.put(
                    new MemberKey(true, member.identity().name()),
                    new MemberStatus(
                            member.identity().incarnation(),
                            member.live() ? EndpointState.LIVE : EndpointState.SUSPECT));
        }
        for (EndpointMember member : view.endpoints()) {
            standings.put(
                    new MemberKey(false, member.endpoint().name()),
                    new MemberStatus(member.endpoint().identity().incarnation(), member.state()));
        }
        return standings;
    }

    /**
     * Records a change.
     *
     * @param kind The kind of change.
     * @param key The member.
     * @param before The standing before.
     * @param after The standing after.
     * @param nowMillis The present time in milliseconds.
     */
    private void recordChanges(
            AuditEvent.Kind kind, MemberKey key, String before, String after, long nowMillis) {
        auditTrail.record(
                new AuditEvent(
                        kind,
                        (key.isInstance() ? "entry instance " : "endpoint ") + key.name(),
                        "list, observations and notices merged",
                        blackboard.read(Topics.TABLE).version(),
                        nowMillis,
                        Map.of("old", before, "new", after)));
    }

    /**
     * Holds what is recorded of a member.
     *
     * @param incarnation The member's run.
     * @param state The believed state.
     */
    private record MemberStatus(long incarnation, EndpointState state) {

        /**
         * Returns the kind of change that leads to this standing.
         *
         * @return The kind of change.
         */
        private AuditEvent.Kind changeKind() {
            return state == EndpointState.LEAVING
                    ? AuditEvent.Kind.DRAIN
                    : AuditEvent.Kind.MEMBER_CHANGED;
        }

        /**
         * Returns this standing as text.
         *
         * @return The run and the state.
         */
        private String text() {
            return incarnation + " " + state;
        }
    }
}
