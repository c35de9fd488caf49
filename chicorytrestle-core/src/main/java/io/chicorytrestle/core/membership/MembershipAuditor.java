package io.chicorytrestle.core.membership;

import io.chicorytrestle.core.audit.AuditEvent;
import io.chicorytrestle.core.audit.AuditTrail;
import io.chicorytrestle.core.blackboard.Blackboard;
import io.chicorytrestle.core.blackboard.Topics;
import java.util.Map;
import java.util.TreeMap;

/** Records changes of the view of the fleet in the audit trail. */
final class MembershipAuditor {

    /** Provides the version of the current table. */
    private final Blackboard blackboard;

    /** Records the changes. */
    private final AuditTrail auditTrail;

    /**
     * Creates a new auditor.
     *
     * @param blackboard Provides the version of the current table.
     * @param auditTrail Records the changes.
     */
    MembershipAuditor(Blackboard blackboard, AuditTrail auditTrail) {
        this.blackboard = blackboard;
        this.auditTrail = auditTrail;
    }

    /**
     * Records each member that differs between two views.
     *
     * @param before The view before.
     * @param after The view after.
     * @param nowMillis The present time in milliseconds.
     */
    void recordChanges(MembershipView before, MembershipView after, long nowMillis) {
        Map<MemberKey, MemberStatus> older = statuses(before);
        Map<MemberKey, MemberStatus> newer = statuses(after);
        newer.forEach(
                (key, status) -> {
                    MemberStatus known = older.get(key);
                    if (known == null) {
                        recordChange(
                                AuditEvent.Kind.MEMBER_JOINED, key, "", status.text(), nowMillis);
                    } else if (!known.equals(status)) {
                        recordChange(
                                status.changeKind(), key, known.text(), status.text(), nowMillis);
                    }
                });
        older.forEach(
                (key, status) -> {
                    if (!newer.containsKey(key)) {
                        recordChange(
                                AuditEvent.Kind.MEMBER_GONE, key, status.text(), "", nowMillis);
                    }
                });
    }

    /**
     * Returns the recorded status of each member of a view.
     *
     * @param view The view.
     * @return The statuses by member.
     */
    private static Map<MemberKey, MemberStatus> statuses(MembershipView view) {
        Map<MemberKey, MemberStatus> statuses = new TreeMap<>();
        for (InstanceMember member : view.instances()) {
            statuses.put(
                    new MemberKey(true, member.identity().name()),
                    new MemberStatus(
                            member.identity().incarnation(),
                            member.live() ? EndpointState.LIVE : EndpointState.SUSPECT));
        }
        for (EndpointMember member : view.endpoints()) {
            statuses.put(
                    new MemberKey(false, member.endpoint().name()),
                    new MemberStatus(member.endpoint().identity().incarnation(), member.state()));
        }
        return statuses;
    }

    /**
     * Records the change of a member.
     *
     * @param kind The kind of change.
     * @param key The member's key.
     * @param before The status before, or an empty string if the member joined.
     * @param after The status after, or an empty string if the member is gone.
     * @param nowMillis The present time in milliseconds.
     */
    private void recordChange(
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
     * Holds the part of a member's state whose changes are recorded.
     *
     * @param incarnation The incarnation of the member's run.
     * @param state The assumed state.
     */
    private record MemberStatus(long incarnation, EndpointState state) {

        /**
         * Returns the kind of change that leads to this status.
         *
         * @return A drain for a member that is leaving, otherwise a change.
         */
        private AuditEvent.Kind changeKind() {
            return state == EndpointState.LEAVING
                    ? AuditEvent.Kind.DRAIN
                    : AuditEvent.Kind.MEMBER_CHANGED;
        }

        /**
         * Returns this status as text.
         *
         * @return The incarnation and the state.
         */
        private String text() {
            return incarnation + " " + state;
        }
    }
}
