package io.chicorytrestle.gateway.settings;

/**
 * What the machine of an instance allows.
 *
 * @param memoryBytes The memory in bytes.
 * @param descriptors The number of descriptors that a process may open.
 * @param unreadTimeoutMillis The time in milliseconds after which a caller is disconnected that
 *     takes no byte of an answer.
 */
public record MachineLimits(long memoryBytes, int descriptors, long unreadTimeoutMillis) {

    /** The limits that apply where the settings name none. */
    public static final MachineLimits DEFAULT =
            new MachineLimits(Long.MAX_VALUE, Integer.MAX_VALUE, 60_000);

    /** The share of the heap that may be held for callers. */
    private static final int HEAP_SHARE = 2;

    /** The share of the machine's memory that may be held for callers. */
    private static final int MEMORY_SHARE = 4;

    /** The heap in bytes that is needed for each connection. */
    private static final long HEAP_PER_CONNECTION_BYTES = 16_384;

    /** The descriptors for libraries, listening sockets, other instances and the store. */
    private static final int OTHER_DESCRIPTORS = 96;

    /** The descriptors for each caller: its connection and that to an endpoint. */
    private static final int DESCRIPTORS_PER_CALLER = 2;

    /** Rejects limits that leave no room for a caller. */
    public MachineLimits {
        if (memoryBytes <= 0
                || descriptors < OTHER_DESCRIPTORS + DESCRIPTORS_PER_CALLER
                || unreadTimeoutMillis <= 0) {
            throw new IllegalArgumentException(
                    "Machine is too small to serve a caller: "
                            + memoryBytes
                            + " bytes of memory, "
                            + descriptors
                            + " descriptors, "
                            + unreadTimeoutMillis
                            + " ms unread");
        }
    }

    /**
     * Returns the bytes that may be held for callers.
     *
     * @param heapBytes The largest size of the heap in bytes.
     * @return The number of bytes.
     */
    public long heldBytes(long heapBytes) {
        return Math.max(1, Math.min(heapBytes / HEAP_SHARE, memoryBytes / MEMORY_SHARE));
    }

    /**
     * Returns the number of connections of callers that may be open.
     *
     * @param heapBytes The largest size of the heap in bytes.
     * @return The number of connections.
     */
    public int callerConnections(long heapBytes) {
        return (int)
                Math.max(
                        1,
                        Math.min(
                                heapBytes / HEAP_PER_CONNECTION_BYTES,
                                (descriptors - OTHER_DESCRIPTORS) / DESCRIPTORS_PER_CALLER));
    }
}
