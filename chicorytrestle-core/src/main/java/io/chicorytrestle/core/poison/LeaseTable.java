package io.chicorytrestle.core.poison;

import io.chicorytrestle.core.blackboard.ShardedMap;
import java.util.ArrayList;
import java.util.List;

/** Grants the exclusive use of keys in leases. Several threads may call it. */
final class LeaseTable {

    /** The leases by key. */
    private final ShardedMap<String, Lease> leases = ShardedMap.make();

    /**
     * Takes, extends or gives back a key.
     *
     * @param turn The question.
     * @param nowMillis The present time in milliseconds.
     * @return {@code true} if the holder has the key now.
     */
    boolean update(PoisonMessages.LeaseRequest turn, long nowMillis) {
        Lease lease =
                leases.compute(
                        turn.key(),
                        present -> {
                            if (present != null
                                    && !present.holder.equals(turn.holder())
                                    && nowMillis < present.untilMillis) {
                                return present;
                            }
                            return turn.leaseMillis() == 0
                                    ? null
                                    : new Lease(turn.holder(), nowMillis + turn.leaseMillis());
                        });
        return lease != null && lease.holder.equals(turn.holder());
    }

    /**
     * Forgets leases that ended.
     *
     * @param nowMillis The present time in milliseconds.
     */
    void removeExpired(long nowMillis) {
        List<String> ended = new ArrayList<>();
        leases.forEach(
                (key, lease) -> {
                    if (nowMillis >= lease.untilMillis) {
                        ended.add(key);
                    }
                });
        ended.forEach(
                key ->
                        leases.compute(
                                key,
                                present ->
                                        present == null || nowMillis >= present.untilMillis
                                                ? null
                                                : present));
    }

    /**
     * Holds a lease.
     *
     * @param holder The holder.
     * @param untilMillis The end of the lease in milliseconds.
     */
    private record Lease(String holder, long untilMillis) {}
}
