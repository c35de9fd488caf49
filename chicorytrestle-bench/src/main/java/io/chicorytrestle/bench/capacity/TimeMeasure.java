package io.chicorytrestle.bench.capacity;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.collect.ImmutableList;
import io.chicorytrestle.bench.capacity.PoolFixtures.PoolFixture;
import io.chicorytrestle.core.chat.FrameValidator;
import io.chicorytrestle.core.endpoint.ResponseFrame;
import io.chicorytrestle.core.identity.InstanceIdentity;
import io.chicorytrestle.core.routing.Admission;
import io.chicorytrestle.core.routing.LeaderMessage;
import io.chicorytrestle.core.routing.RendezvousOrder;
import io.chicorytrestle.core.routing.WorkOutcome;
import io.chicorytrestle.core.table.Table;
import io.chicorytrestle.core.table.TableParser;
import io.chicorytrestle.core.table.TableWriter;
import io.chicorytrestle.core.ticket.HmacTicketCodec;
import io.chicorytrestle.core.ticket.Ticket;
import io.chicorytrestle.core.ticket.TicketCodec;
import io.chicorytrestle.peer.FrameCodec;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Measures the mean time of a repeated operation. */
enum TimeMeasure implements Measure {

    /** The time of one admission and its completion, by the size of the pool. */
    DECISION("decisionTime", "endpoint of the pool", ImmutableList.of(6, 50, 200)) {
        @Override
        Work createWork(int size) {
            PoolFixture fixture = PoolFixtures.createPool(size);
            return round -> {
                Admission admission =
                        fixture.dispatcher()
                                .admit(fixture.request(round), PoolFixtures.LEADERSHIP_MILLIS)
                                .get(1, TimeUnit.SECONDS);
                fixture.dispatcher()
                        .complete(admission, new WorkOutcome(WorkOutcome.Result.DONE, null), round);
            };
        }
    },

    /** The time to order the endpoints of a pool for a chat. */
    ORDER("orderTime", "endpoint of the pool", ImmutableList.of(6, 50, 200)) {
        @Override
        Work createWork(int size) {
            PoolFixture fixture = PoolFixtures.createPool(size);
            RendezvousOrder order = RendezvousOrder.of(fixture.endpoints());
            return order::order;
        }
    },

    /** The time to parse and check the frames of a response. */
    FRAME("frameTime", "frame", ImmutableList.of(100, 400, 1_600)) {
        @Override
        Work createWork(int size) throws IOException {
            List<byte[]> lines = new ArrayList<>();
            for (int sequence = 0; sequence < size; sequence++) {
                ResponseFrame frame = new ResponseFrame("request-1", sequence, " word", null);
                lines.add(MAPPER.writeValueAsBytes(frame));
            }
            ObjectReader reader = MAPPER.readerFor(ResponseFrame.class);
            return round -> {
                FrameValidator check = new FrameValidator.ForSequence("request-1");
                for (byte[] line : lines) {
                    check.validate(reader.readValue(line));
                }
            };
        }
    },

    /** The time to write the frames of a response in the JSON format for callers. */
    CHUNK("chunkTime", "frame", ImmutableList.of(100, 400, 1_600)) {
        @Override
        Work createWork(int size) {
            return round -> {
                for (int sequence = 0; sequence < size; sequence++) {
                    MAPPER.writeValueAsBytes(Chunk.of(" word" + sequence));
                }
            };
        }
    },

    /** The time to encode, seal and frame messages between entry instances. */
    MESSAGE("messageTime", "message", ImmutableList.of(10, 40, 160)) {
        @Override
        Work createWork(int size) {
            LeaderMessage.AdmitReply reply =
                    new LeaderMessage.AdmitReply("pool", 1, 1, "engine-1", 1, 1);
            return round -> {
                for (int number = 0; number < size; number++) {
                    FrameCodec.INSTANCE.frameBytes(reply);
                }
            };
        }
    },

    /** The time to parse a complete table. */
    TABLE("tableTime", "workspace", ImmutableList.of(10, 60, 230)) {
        @Override
        Work createWork(int size) {
            Table table = PoolFixtures.createTable(size);
            byte[] content = TableWriter.INSTANCE.write(table).getBytes(StandardCharsets.UTF_8);
            return round -> TableParser.INSTANCE.parse(content);
        }
    },

    /** The time to sign and verify tickets. */
    TICKET("ticketTime", "ticket", ImmutableList.of(10, 20, 40)) {
        @Override
        Work createWork(int size) {
            TicketCodec codec = new HmacTicketCodec(new byte[HmacTicketCodec.MINIMUM_KEY_BYTES]);
            InstanceIdentity issuer = new InstanceIdentity("instance", "zone", 1);
            return round -> {
                for (int number = 0; number < size; number++) {
                    Ticket ticket = new Ticket(issuer, "workspace", number, round);
                    codec.decode(codec.encode(ticket), "workspace");
                }
            };
        }
    };

    /** Reads and writes JSON. */
    private static final JsonMapper MAPPER =
            JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    /** The duration of the warm-up in nanoseconds. */
    private static final long WARM_UP_NANOS = 700_000_000;

    /** The duration of the measurement in nanoseconds. */
    private static final long MEASURED_NANOS = 700_000_000;

    /** What is measured and at which sizes. */
    private final Definition definition;

    /**
     * Creates a new measure.
     *
     * @param key The name of the measure.
     * @param per The noun, in the singular, for what the sizes count.
     * @param sizes The sizes to measure at, in ascending order.
     */
    TimeMeasure(String key, String per, ImmutableList<Integer> sizes) {
        definition = new Definition(key, "nanoseconds", per, sizes);
    }

    @Override
    public Definition definition() {
        return definition;
    }

    @Override
    public double sample(int size, long seed) throws Exception {
        Work work = createWork(size);
        meanRoundNanos(work, WARM_UP_NANOS, seed);
        return meanRoundNanos(work, MEASURED_NANOS, seed);
    }

    /**
     * Creates the operation to measure.
     *
     * @param size The size.
     * @return The operation.
     * @throws IOException If the operation cannot be prepared.
     */
    abstract Work createWork(int size) throws IOException;

    /**
     * Repeats an operation for a period of time.
     *
     * @param work The operation.
     * @param durationNanos The minimum duration in nanoseconds.
     * @param firstRound The number of the first round.
     * @return The mean time of a round in nanoseconds.
     * @throws Exception If the operation failed.
     */
    private static double meanRoundNanos(Work work, long durationNanos, long firstRound)
            throws Exception {
        long start = System.nanoTime();
        long rounds = 0;
        while (System.nanoTime() - start < durationNanos) {
            work.run(firstRound + rounds);
            rounds++;
        }
        return (System.nanoTime() - start) / (double) rounds;
    }

    /** An operation that can be repeated. */
    @FunctionalInterface
    interface Work {

        /**
         * Runs the operation once.
         *
         * @param round The number of the round.
         * @throws Exception If the operation failed.
         */
        void run(long round) throws Exception;
    }

    /**
     * A chunk of a streamed response in the format for callers.
     *
     * @param id The identifier of the response.
     * @param object The type of the JSON object.
     * @param created The time of the response in seconds since the epoch.
     * @param model The model.
     * @param choices The choices, always one.
     */
    private record Chunk(
            String id, String object, long created, String model, List<Choice> choices) {

        /** The time of each response in seconds since the epoch. */
        private static final long CREATED_SECONDS = 1_700_000_000;

        /**
         * Creates a chunk.
         *
         * @param text The text.
         * @return The chunk.
         */
        static Chunk of(String text) {
            return new Chunk(
                    "request-1",
                    "chat.completion.chunk",
                    CREATED_SECONDS,
                    "model",
                    List.of(new Choice(0, new Delta(text))));
        }
    }

    /**
     * A choice of a chunk.
     *
     * @param index The position of the choice.
     * @param delta The text that the chunk adds.
     */
    private record Choice(int index, Delta delta) {}

    /**
     * The text that a chunk adds to a choice.
     *
     * @param content The text.
     */
    private record Delta(String content) {}
}
