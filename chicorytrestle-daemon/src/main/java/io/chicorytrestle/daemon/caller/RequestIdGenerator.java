package io.chicorytrestle.daemon.caller;

import io.chicorytrestle.core.identity.InstanceIdentity;
import java.util.concurrent.atomic.AtomicLong;

/** Generates request identifiers that are unique in the fleet. It is thread-safe. */
public final class RequestIdGenerator {

    /** The radix in which numbers are written. */
    private static final int RADIX = 36;

    /** The prefix of all identifiers of this process: the instance's name and incarnation. */
    private final String prefix;

    /** The number of the latest request. */
    private final AtomicLong lastNumber = new AtomicLong();

    /**
     * Creates a generator.
     *
     * @param identity The identity of this entry instance.
     */
    public RequestIdGenerator(InstanceIdentity identity) {
        prefix = identity.name() + "-" + Long.toString(identity.incarnation(), RADIX) + "-";
    }

    /**
     * Generates an identifier.
     *
     * @return An identifier that no other request of the fleet has.
     */
    public String next() {
        return prefix + Long.toString(lastNumber.incrementAndGet(), RADIX);
    }
}
