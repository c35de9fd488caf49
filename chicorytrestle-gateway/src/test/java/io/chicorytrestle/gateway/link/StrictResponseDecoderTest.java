package io.chicorytrestle.gateway.link;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class StrictResponseDecoderTest {

    private static final int TRIES = 4_000;

    private static final String ID_HEADER = "X-Request-Id";

    private static final String LAST_CHUNK = "0\r\n\r\n";

    private final ResponseSyntax syntax = ResponseSyntax.of(List.of(ID_HEADER));

    /** Guards against a response that is composed of a part of one and another one. */
    @Property(tries = TRIES, seed = "38")
    void testDecodeWhenAResponseFollowsACutHead(
            @ForAll("responses") String cut,
            @ForAll("responses") String whole,
            @ForAll Random random) {
        int end = 1 + random.nextInt(cut.indexOf("\r\n\r\n") + 3);

        assertThat(decode(cut.substring(0, end) + whole, random).isRefused(), is(true));
    }

    /** Guards against a response whose trailers are the head of another one. */
    @Property(tries = TRIES, seed = "38")
    void testDecodeWhenAResponseFollowsACutLastChunk(
            @ForAll("responses") String whole, @ForAll Random random) {
        String chunked = response("r1", "HTTP/1.1 200 OK", "body", true);
        int end = chunked.length() - 1 - random.nextInt(LAST_CHUNK.length());

        Decoded decoded = decode(chunked.substring(0, end) + whole, random);

        assertThat(decoded.isRefused(), is(true));
        assertThat(decoded.completed(), equalTo(0));
    }

    /** Guards against a body whose framing is completed by a failure without a name. */
    @Property(tries = TRIES, seed = "47")
    void testDecodeWhenANamelessFailureFollowsACutBody(@ForAll Random random) {
        String extension = random.nextBoolean() ? "" : " ;a=\"b\"";
        String sound =
                response("r1", "HTTP/1.1 200 OK", "body", true)
                        .replace("4\r\nbody", "4" + extension + "\r\nbody")
                        .replace(LAST_CHUNK, "0" + extension + "\r\nX-A: b\r\n\r\n");
        int bodyStart = sound.indexOf("\r\n\r\n") + 4;
        int dataStart = sound.indexOf("body");
        int cut = bodyStart + random.nextInt(sound.length() - bodyStart);
        boolean isInsideData = cut >= dataStart && cut < dataStart + 4;
        String failure = "HTTP/1.1 500 Internal Server Error\r\n";
        String framing =
                random.nextBoolean()
                        ? "Content-Length: 0\r\n\r\n"
                        : "Transfer-Encoding: chunked\r\n\r\n" + LAST_CHUNK;

        assertThat(decode(sound, random).completed(), equalTo(1));
        Decoded decoded = decode(sound.substring(0, cut) + failure + framing, random);

        assertThat(sound.substring(bodyStart, cut), decoded.completed(), equalTo(0));
        assertThat(decoded.isRefused() || isInsideData, is(true));
    }

    /** Guards against a sound response that is refused or changed by the sizes of its pieces. */
    @Property(tries = TRIES, seed = "38")
    void testDecodeWhenTheResponseIsSound(
            @ForAll("responses") String whole, @ForAll Random random) {
        Decoded decoded = decode(whole, random);

        assertThat(decoded.isRefused(), is(false));
        assertThat(decoded.completed(), equalTo(1));
        assertThat(decoded.isBetweenResponses(), is(true));
        assertThat(decoded.body().length() == 0 || whole.contains(decoded.body()), is(true));
    }

    /** Guards against bytes that end the loop that the decoder feeds. */
    @Property(tries = TRIES, seed = "38")
    void testDecodeWhenBytesAreChanged(@ForAll("responses") String whole, @ForAll Random random) {
        byte[] bytes = whole.getBytes(StandardCharsets.ISO_8859_1);
        for (int change = 0; change <= random.nextInt(4); change++) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
        }

        Decoded decoded = decode(new String(bytes, StandardCharsets.ISO_8859_1), random);

        assertThat(decoded.body().length(), lessThanOrEqualTo(bytes.length));
    }

    @Test
    void testDecodeWhenTheHeadIsAmbiguous() {
        String line = "HTTP/1.1 200 OK\r\n";
        String length = "Content-Length: 0\r\n\r\n";
        for (String text :
                List.of(
                        line + "Transfer-Encoding: chunked\r\n" + length,
                        line + "Content-Length: 1\r\n" + length,
                        line + "Transfer-Encoding: gzip, chunked\r\n\r\n" + LAST_CHUNK,
                        line + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
                        line + "X-A: b\r\n c\r\n" + length,
                        line + "X-A: b\rX-B: c\r\n" + length,
                        line + "X A: b\r\n" + length,
                        line + "X-Request-Id: 1\r\nX-Request-Id: 1\r\n" + length,
                        line + "Content-Type: a/b\r\nContent-Type: a/b\r\n" + length,
                        "HTTP/1.1 200 OK\n" + length,
                        "HTTP/1.1 200 O\rK\r\n" + length,
                        "HTTP/2.0 200 OK\r\n" + length,
                        "HTTP/1.1 099 OK\r\n" + length,
                        "HTTP/1.1 600 OK\r\n" + length,
                        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
                        line + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Request-Id: 2\r\n\r\n")) {
            assertThat(text, decode(text, new Random(1)).isRefused(), is(true));
        }
    }

    @Test
    void testDecodeWhenTheHeadIsUnusual() {
        String length = "\r\nContent-Length: 0\r\n\r\n";
        for (String text :
                List.of(
                        "HTTP/1.1 200" + length,
                        "HTTP/1.1 200 " + length,
                        "HTTP/1.0 200 OK" + length,
                        "HTTP/1.1 505 HTTP Version Not Supported" + length,
                        "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 gate" + length,
                        "HTTP/1.1 200 OK\r\nX-A: \r\nX-A: b" + length,
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n0\r\nX-A: b\r\n\r\n",
                        "HTTP/1.1 204 No Content\r\n\r\n")) {
            Decoded decoded = decode(text, new Random(1));

            assertThat(text, decoded.isRefused(), is(false));
            assertThat(text, decoded.completed(), equalTo(1));
        }
    }

    @Provide
    Arbitrary<String> responses() {
        return Combinators.combine(
                        Arbitraries.of("r1", "r2"),
                        Arbitraries.of(
                                "HTTP/1.1 200 OK",
                                "HTTP/1.1 500 Internal Server Error",
                                "HTTP/1.1 503 ",
                                "HTTP/1.0 200 OK",
                                "HTTP/1.1 429 Too Many: wait"),
                        Arbitraries.strings().withChars("ab\r\n0 ").ofMaxLength(40),
                        Arbitraries.of(true, false))
                .as(StrictResponseDecoderTest::response);
    }

    private static String response(String id, String line, String body, boolean isChunked) {
        String framing = "Content-Length: " + body.length();
        String framed = body;
        if (isChunked && line.startsWith("HTTP/1.1")) {
            framing = "Transfer-Encoding: chunked";
            String chunk = Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
            framed = (body.isEmpty() ? "" : chunk) + LAST_CHUNK;
        }
        return line
                + "\r\nDate: Sat, 05 Dec 2026 12:00:00 GMT\r\n"
                + ID_HEADER
                + ": "
                + id
                + "\r\nContent-Type: text/plain\r\n"
                + framing
                + "\r\nX-Seal: 1.2.3\r\n\r\n"
                + framed;
    }

    /** Decodes bytes that arrive in drawn pieces. */
    private Decoded decode(String text, Random random) {
        StrictResponseDecoder decoder = new StrictResponseDecoder(syntax);
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
        while (bytes.isReadable()) {
            int size = 1 + random.nextInt(bytes.readableBytes());
            channel.writeInbound(bytes.readRetainedSlice(size));
        }
        List<HttpObject> objects = new ArrayList<>();
        for (Object next = channel.readInbound(); next != null; next = channel.readInbound()) {
            objects.add((HttpObject) next);
        }
        Decoded decoded = Decoded.of(objects, decoder.isBetweenResponses());
        objects.forEach(ReferenceCountUtil::release);
        bytes.release();
        channel.finishAndReleaseAll();
        return decoded;
    }

    /** What a connection sees up to the first refusal. */
    private record Decoded(
            boolean isRefused, int completed, String body, boolean isBetweenResponses) {

        private static Decoded of(List<HttpObject> objects, boolean isBetweenResponses) {
            int completed = 0;
            StringBuilder body = new StringBuilder();
            for (HttpObject object : objects) {
                if (object.decoderResult().isFailure()) {
                    return new Decoded(true, completed, body.toString(), isBetweenResponses);
                }
                if (object instanceof HttpResponse) {
                    body.setLength(0);
                }
                if (object instanceof HttpContent content) {
                    body.append(content.content().toString(StandardCharsets.ISO_8859_1));
                }
                completed += object instanceof LastHttpContent ? 1 : 0;
            }
            return new Decoded(false, completed, body.toString(), isBetweenResponses);
        }
    }
}
