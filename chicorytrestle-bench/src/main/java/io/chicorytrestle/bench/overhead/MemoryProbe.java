package io.chicorytrestle.bench.overhead;

import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;

/** Measures the memory that is held after garbage was collected. */
final class MemoryProbe {

    /** The bytes of a megabyte. */
    private static final double MEGABYTE = 1024d * 1024d;

    /** The collections before a measurement. */
    private static final int COLLECTIONS = 3;

    /** Prevents instances. */
    private MemoryProbe() {}

    /**
     * Collects garbage and returns the memory that is held.
     *
     * @return The heap and the buffers beside it, in megabytes.
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
