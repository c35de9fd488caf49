package io.chicorytrestle.core.poison;

import io.chicorytrestle.core.blackboard.ShardedMap;
import java.util.ArrayList;
import java.util.List;

/** Grants leases, each of which reserves a key for one holder. This class is thread-safe. */
final class LeaseTable {

    /** The leases by key. */
    private final ShardedMap<String, Lease> leases = ShardedMap.make();

    /**
     * Grants, extends or releases a lease. A request whose lease time is zero releases it.
     *
     * @param request The request.
     * @param nowMillis The current time in milliseconds.
     * @return {@code true} if the requesting holder has the lease now.
     */
    boolean update(PoisonMessages.LeaseRequest request, long nowMillis) {
        Lease lease =
                leases.compute(
                        request.key(),
                        present -> {
                            if (present != null
                                    && !present.holder.equals(request.holder())
                                    && nowMillis < present.untilMillis) {
                                return present;
                            }
                            return request.leaseMillis() == 0
                                    ? null
                                    : new Lease(
                                            request.holder(), nowMillis + request.leaseMillis());
                        });
        return lease != null && lease.holder.equals(request.holder());
    }

    /**
     * Removes leases that have expired.
     *
     * @param nowMillis The current time in milliseconds.
     */
    void removeExpired(long nowMillis) {
        List<String> expired = new ArrayList<>();
        leases.forEach(
                (key, lease) -> {
                    if (nowMillis >= lease.untilMillis) {
                        expired.add(key);
                    }
                });
        expired.forEach(
                key ->
                        leases.compute(
                                key,
                                present ->
                                        present == null || nowMillis >= present.untilMillis
                                                ? null
                                                : present));
    }

    /**
     * Holds the lease of a key.
     *
     * @param holder The holder of the lease.
     * @param untilMillis The end of the lease in milliseconds.
     */
    private record Lease(String holder, long untilMillis) {}
}
