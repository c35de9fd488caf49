package io.chicorytrestle.bench.overhead;

import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;

/** Measures the memory in use after garbage collections. */
final class MemoryProbe {

    /** The bytes in a megabyte. */
    private static final double MEGABYTE = 1024d * 1024d;

    /** The number of garbage collections before a measurement. */
    private static final int COLLECTIONS = 3;

    /** Prevents instantiation. */
    private MemoryProbe() {}

    /**
     * Runs garbage collections and returns the memory in use.
     *
     * @return The used heap and buffer pools, such as direct buffers, in megabytes.
     */
    @SuppressWarnings("GarbageCollection")
    static double usedMegabytes() {
        for (int count = 0; count < COLLECTIONS; count++) {
            System.gc();
        }
        long heap = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
        long buffers =
                ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
                        .mapToLong(BufferPoolMXBean::getMemoryUsed)
                        .sum();
        return (heap + buffers) / MEGABYTE;
    }
}
