package io.chicorytrestle.daemon.caller;

import io.chicorytrestle.core.identity.InstanceIdentity;
import java.util.concurrent.atomic.AtomicLong;

/** Names requests uniquely over the fleet. Several threads may call it. */
public final class RequestIdGenerator {

    /** The base in which numbers are written. */
    private static final int RADIX = 36;

    /** What all names of this process begin with. */
    private final String prefix;

    /** The number of the request that was named last. */
    private final AtomicLong lastNumber = new AtomicLong();

    /**
     * Creates new identifiers.
     *
     * @param identity The identity of this entry instance.
     */
    public RequestIdGenerator(InstanceIdentity identity) {
        prefix = identity.name() + "-" + Long.toString(identity.incarnation(), RADIX) + "-";
    }

    /**
     * Names a request.
     *
     * @return An identifier that no other request has.
     */
    public String next() {
        return prefix + Long.toString(lastNumber.incrementAndGet(), RADIX);
    }
}
