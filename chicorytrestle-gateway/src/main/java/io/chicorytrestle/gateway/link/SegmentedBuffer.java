package io.chicorytrestle.gateway.link;

import java.util.ArrayList;
import java.util.List;

/** Holds bytes in segments, so that none are copied when more are added. */
public final class SegmentedBuffer {

    /** The size of the first segment in bytes, enough for an event of a few tokens. */
    private static final int MINIMUM_SEGMENT_BYTES = 256;

    /** The largest size of a segment in bytes. */
    private static final int MAXIMUM_SEGMENT_BYTES = 8_192;

    /** The segments, all of them full but the last one. */
    private final List<byte[]> segments = new ArrayList<>(1);

    /** The number of bytes in the last segment that are not used yet. */
    private int freeBytes;

    /** The number of bytes. */
    private int size;

    /**
     * Returns the number of bytes.
     *
     * @return The number of bytes.
     */
    public int size() {
        return size;
    }

    /**
     * Adds bytes.
     *
     * @param bytes The array that contains the bytes.
     * @param start The offset of the first byte.
     * @param end The offset after the last byte.
     */
    public void append(byte[] bytes, int start, int end) {
        for (int offset = start; offset < end; ) {
            if (freeBytes == 0) {
                freeBytes = Math.max(MINIMUM_SEGMENT_BYTES, Math.min(size, MAXIMUM_SEGMENT_BYTES));
                segments.add(new byte[freeBytes]);
            }
            byte[] last = segments.get(segments.size() - 1);
            int length = Math.min(freeBytes, end - offset);
            System.arraycopy(bytes, offset, last, last.length - freeBytes, length);
            freeBytes -= length;
            size += length;
            offset += length;
        }
    }

    /**
     * Returns all bytes, followed by others.
     *
     * @param bytes The array that contains the other bytes.
     * @param end The number of the other bytes.
     * @return A new array.
     */
    public byte[] toByteArrayWith(byte[] bytes, int end) {
        byte[] joined = new byte[size + end];
        int offset = 0;
        for (byte[] segment : segments) {
            int length = Math.min(segment.length, size - offset);
            System.arraycopy(segment, 0, joined, offset, length);
            offset += length;
        }
        System.arraycopy(bytes, 0, joined, size, end);
        return joined;
    }

    /**
     * Returns all bytes and removes them.
     *
     * @return A new array.
     */
    public byte[] take() {
        byte[] bytes = toByteArrayWith(new byte[0], 0);
        clear();
        return bytes;
    }

    /** Removes all bytes. */
    public void clear() {
        segments.clear();
        freeBytes = 0;
        size = 0;
    }
}
