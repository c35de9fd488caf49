package io.chicorytrestle.gateway.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.zip.DeflaterOutputStream;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

class TableBytesTest {

    private static final int ROUTES = 1_600;

    /** What a link of 7 Mbit/s to three other instances carries in a sixth of a second. */
    private static final int MAXIMUM_LINK_BYTES = 48_000;

    private final Random random = new Random(3);

    @Test
    void testEncodeWhenTheTableHasManyRoutes() throws IOException {
        byte[] table = table(ROUTES);
        byte[] encoded = FleetCodec.encode(published(table));

        assertThat(table.length, greaterThan(300_000));
        assertThat(encoded.length, lessThan(MAXIMUM_LINK_BYTES));
        assertThat(FleetCodec.decode(encoded), equalTo(published(table)));
    }

    @Test
    void testEncodeWhenTheTableIsSmallOrCannotBeCompressed() throws IOException {
        byte[] small = table(1);
        byte[] noise = new byte[100_000];
        random.nextBytes(noise);

        assertThat(
                new String(FleetCodec.encode(published(small)), StandardCharsets.ISO_8859_1)
                        .endsWith(new String(small, StandardCharsets.ISO_8859_1)),
                equalTo(true));
        assertThat(
                FleetCodec.decode(FleetCodec.encode(published(noise))), equalTo(published(noise)));
    }

    @Test
    void testDecodeWhenTheTableIsPlainThoughLarge() throws IOException {
        byte[] table = table(ROUTES);
        try (MessageBufferPacker packer = start()) {
            packer.packBinaryHeader(table.length);
            packer.writePayload(table);

            assertThat(FleetCodec.decode(packer.toByteArray()), equalTo(published(table)));
        }
    }

    @Test
    void testDecodeWhenTheStatedSizeIsWrong() throws IOException {
        byte[] compressed = deflate(new byte[100_000]);
        for (int size : new int[] {0, 1, 99_999, 100_001, -1, Integer.MAX_VALUE}) {
            assertRefused(TableBytes.COMPRESSED, size, compressed);
        }
        assertRefused((byte) 2, 100_000, compressed);
    }

    /** Guards the memory of the receiver. */
    @Test
    void testDecodeWhenTheTableIsTooLargeOnceExpanded() throws IOException {
        int size = TableBytes.MAXIMUM_TABLE_BYTES + 1;

        assertRefused(TableBytes.COMPRESSED, size, deflate(new byte[size]));
        assertRefused(TableBytes.COMPRESSED, 1_000_000, new byte[10]);
    }

    @Test
    void testDecodeWhenBytesAreDamaged() throws IOException {
        byte[] compressed = deflate(table(100));
        int size = table(100).length;
        for (int round = 0; round < 500; round++) {
            byte[] damaged = compressed.clone();
            damaged[random.nextInt(damaged.length)] ^= (byte) (1 << random.nextInt(8));
            assertRefused(TableBytes.COMPRESSED, size, damaged);
            assertRefused(
                    TableBytes.COMPRESSED,
                    size,
                    Arrays.copyOf(compressed, random.nextInt(compressed.length)));
        }
        assertRefused(
                TableBytes.COMPRESSED, size, Arrays.copyOf(compressed, compressed.length + 1));
    }

    private static PublishedTable published(byte[] table) {
        return new PublishedTable("a", ByteBuffer.wrap(table));
    }

    private static MessageBufferPacker start() throws IOException {
        MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
        packer.packInt(5);
        packer.packString("a");
        return packer;
    }

    private static void assertRefused(byte type, int size, byte[] compressed) throws IOException {
        try (MessageBufferPacker packer = start()) {
            packer.packExtensionTypeHeader(type, Integer.BYTES + compressed.length);
            packer.writePayload(ByteBuffer.allocate(Integer.BYTES).putInt(size).array());
            packer.writePayload(compressed);
            byte[] message = packer.toByteArray();
            assertThrows(IOException.class, () -> FleetCodec.decode(message));
        }
    }

    private static byte[] deflate(byte[] plain) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(bytes)) {
            deflater.write(plain);
        }
        return bytes.toByteArray();
    }

    /** Returns a table whose names are as random as those of the platform. */
    private static byte[] table(int routes) {
        Random names = new Random(routes);
        StringBuilder text = new StringBuilder("{\"version\":9,\"routes\":[");
        for (int route = 0; route < routes; route++) {
            text.append("{\"name\":\"r-").append(Integer.toString(names.nextInt(1 << 30), 36));
            text.append("\",\"host\":\"").append(Integer.toString(names.nextInt(1 << 20), 36));
            text.append(".example\",\"prefix\":\"/")
                    .append(Integer.toString(names.nextInt(1 << 20), 36));
            text.append(
                    "/\",\"kind\":\"streaming\",\"timeout_ms\":3000,\"latency_target_ms\":508,");
            text.append("\"priority\":1,\"service\":\"s").append(names.nextInt(4));
            text.append("\",\"max_attempts\":2,\"public\":false,\"sticky\":true,");
            text.append("\"can_resume\":true,\"gap_target_ms\":400},");
        }
        return text.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }
}
