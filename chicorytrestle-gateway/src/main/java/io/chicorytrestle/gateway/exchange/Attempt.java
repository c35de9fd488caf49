package io.chicorytrestle.gateway.exchange;

import io.chicorytrestle.core.placement.Placement;
import io.chicorytrestle.core.placement.ServingEndpoint;
import io.chicorytrestle.core.route.Route;
import io.chicorytrestle.core.verdict.Verdict;
import io.chicorytrestle.gateway.dialect.AnswerFacts;
import io.chicorytrestle.gateway.endpoint.AnswerListener;
import io.chicorytrestle.gateway.endpoint.EndpointLink;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.io.ByteArrayOutputStream;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Sends a request to one endpoint and sorts its answer. It is confined to the event loop's thread.
 */
final class Attempt implements AnswerListener {

    /** The longest time in milliseconds for which a connection may have been idle to be used. */
    private static final long ANY_IDLE_MILLIS = Long.MAX_VALUE;

    /** The bytes of a body beyond which it is passed on before it is complete. */
    private static final int MAXIMUM_HELD_BYTES = 262_144;

    /** What all requests share. */
    private final GatewayContext context;

    /** The request. */
    private final Exchange exchange;

    /** The endpoint and why it was chosen. */
    private final Placement placement;

    /** Notices that the endpoint stays silent. */
    private final SilenceWatch silence;

    /** The body of an answer that is held until it is complete. */
    private final ByteArrayOutputStream held = new ByteArrayOutputStream(0);

    /** The connection, or null before there is one. */
    private @Nullable EndpointLink link;

    /** The head of the answer, or null before it arrived. */
    private @Nullable HttpResponse head;

    /** How the answer is treated. */
    private Treatment treatment = Treatment.HOLD;

    /** Whether the request was written. */
    private boolean isSent;

    /** Whether this attempt ended. */
    private boolean isOver;

    /**
     * Creates a new attempt.
     *
     * @param context What all requests share.
     * @param exchange The request.
     * @param placement The endpoint and why it was chosen.
     * @param route The route.
     */
    Attempt(GatewayContext context, Exchange exchange, Placement placement, Route route) {
        this.context = context;
        this.exchange = exchange;
        this.placement = placement;
        silence = new SilenceWatch(context, route, () -> exchange.silent(this));
    }

    /**
     * Returns what notices that the endpoint stays silent.
     *
     * @return What notices that the endpoint stays silent.
     */
    SilenceWatch silence() {
        return silence;
    }

    /**
     * Returns the endpoint.
     *
     * @return The endpoint.
     */
    ServingEndpoint endpoint() {
        return placement.endpoint();
    }

    /**
     * Returns {@code true} if the request was written.
     *
     * @return {@code true} if the endpoint may have received the request.
     */
    boolean isSent() {
        return isSent;
    }

    /**
     * Returns {@code true} if an answer began to arrive.
     *
     * @return {@code true} if an answer began to arrive.
     */
    boolean isStarted() {
        return head != null;
    }

    /**
     * Connects and sends the request.
     *
     * @param request Builds the request once there is a connection.
     * @param id The identifier of the request.
     */
    void begin(Supplier<FullHttpRequest> request, String id) {
        context.loads().begin(endpoint().incarnation());
        context.pool()
                .acquire(endpoint(), ANY_IDLE_MILLIS)
                .whenComplete(
                        (acquired, failure) -> {
                            if (failure != null) {
                                unreachable(failure);
                            } else {
                                send(acquired, request, id);
                            }
                        });
    }

    /**
     * Takes note of an endpoint that could not be connected to.
     *
     * @param failure Why.
     */
    private void unreachable(Exception failure) {
        if (isOver) {
            return;
        }
        end();
        context.health().broke(endpoint().incarnation(), context.nowMillis());
        exchange.failed(this, Verdict.NOT_RUN, "no connection: " + failure.getMessage());
    }

    /**
     * Sends the request.
     *
     * @param acquired The connection.
     * @param request Builds the request.
     * @param id The identifier of the request.
     */
    private void send(EndpointLink acquired, Supplier<FullHttpRequest> request, String id) {
        if (isOver) {
            acquired.cancel();
            return;
        }
        link = acquired;
        isSent = true;
        exchange.sent(this);
        acquired.send(request.get(), id, this);
    }

    /** Gives up the attempt, since the endpoint should have answered by now. */
    void cancelSilent() {
        if (!isOver && isSent) {
            context.outcomes().ended(endpoint().incarnation(), false, context.nowMillis());
        }
        cancel();
    }

    /** Gives up the attempt, so that the endpoint stops work. */
    void cancel() {
        if (!isOver) {
            end();
            if (link != null) {
                link.cancel();
            }
        }
    }

    /** Takes note of the end of the attempt. */
    private void end() {
        isOver = true;
        silence.end();
        context.loads().end(endpoint().incarnation());
    }

    @Override
    public void started(HttpResponse answer, AnswerFacts facts) {
        head = answer;
        context.reach().heard(endpoint().zone(), context.nowMillis());
        facts.load()
                .ifPresent(
                        load ->
                                context.loads()
                                        .report(
                                                endpoint().incarnation(),
                                                load,
                                                context.nowMillis()));
        if (!exchange.isStream()) {
            silence.end();
        }
        boolean isSuccess = answer.status().codeClass() == HttpStatusClass.SUCCESS;
        boolean isRefusal =
                facts.isNotExecuted()
                        || answer.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
        if (isRefusal) {
            treatment = Treatment.REFUSED;
        } else if (isSuccess
                && (!facts.isSealed()
                        || answer.headers().contains(HttpHeaderNames.CONTENT_ENCODING))) {
            spoiled("answer is not the endpoint's own");
        } else if (!isSuccess && isPromiseOfNoRun(answer.status())) {
            treatment = Treatment.DOUBTFUL;
        } else if (isSuccess && exchange.isStream()) {
            treatment = Treatment.STREAM;
            exchange.streamStarted(this, answer);
        }
    }

    /**
     * Returns {@code true} if callers take a status as the promise that the request never runs.
     *
     * @param status The status.
     * @return {@code true} if only a request that never runs may be answered with the status.
     */
    private static boolean isPromiseOfNoRun(HttpResponseStatus status) {
        return status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                || status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)
                || status.equals(HttpResponseStatus.REQUEST_TIMEOUT);
    }

    /**
     * Gives up an answer that cannot be passed on.
     *
     * @param cause What is wrong with the answer.
     */
    private void spoiled(String cause) {
        if (link != null) {
            link.cancel();
        }
        broken(cause);
    }

    @Override
    public void content(ByteBuf content) {
        if (isOver) {
            return;
        }
        if (treatment == Treatment.STREAM) {
            context.reach().heard(endpoint().zone(), context.nowMillis());
            exchange.streamed(this, content);
            pauseWhileCongested();
        } else if (treatment == Treatment.HOLD) {
            byte[] bytes = new byte[content.readableBytes()];
            content.readBytes(bytes);
            held.writeBytes(bytes);
            if (held.size() > MAXIMUM_HELD_BYTES && head != null) {
                treatment = Treatment.STREAM;
                exchange.streamStarted(this, head);
                exchange.streamed(this, io.netty.buffer.Unpooled.wrappedBuffer(held.toByteArray()));
                held.reset();
            }
        }
    }

    /** Reads no more while the caller reads slowly. */
    private void pauseWhileCongested() {
        EndpointLink reading = link;
        if (reading != null && exchange.caller().isCongested()) {
            reading.pause();
            silence.pause();
            exchange.caller()
                    .whenDrained(
                            () -> {
                                silence.progressed();
                                reading.resume();
                            });
        }
    }

    @Override
    public void completed() {
        HttpResponse answer = head;
        if (isOver || answer == null) {
            return;
        }
        end();
        String incarnation = endpoint().incarnation();
        boolean isServerError = answer.status().codeClass() == HttpStatusClass.SERVER_ERROR;
        if (treatment != Treatment.REFUSED) {
            context.health().answered(incarnation);
            context.outcomes().ended(incarnation, !isServerError, context.nowMillis());
        }
        switch (treatment) {
            case REFUSED -> exchange.failed(this, Verdict.NOT_RUN, "endpoint did not run it");
            case DOUBTFUL ->
                    exchange.failed(
                            this, Verdict.MAY_HAVE_RUN, "endpoint answered " + answer.status());
            case STREAM -> exchange.streamCompleted(this);
            case HOLD -> exchange.answered(this, answer, held.toByteArray());
        }
    }

    @Override
    public void broken(String cause) {
        if (!isOver) {
            endBroken();
            exchange.failed(this, Verdict.MAY_HAVE_RUN, cause);
        }
    }

    @Override
    public void connectionLost(String cause) {
        if (!isOver) {
            endBroken();
            exchange.connectionLost(this, cause);
        }
    }

    /** Takes note of the end of the attempt without an answer. */
    private void endBroken() {
        end();
        context.health().broke(endpoint().incarnation(), context.nowMillis());
        context.outcomes().ended(endpoint().incarnation(), false, context.nowMillis());
    }

    /** Enumerates how an answer is treated. */
    private enum Treatment {

        /** It is held until it is complete. */
        HOLD,

        /** It is passed on as it arrives. */
        STREAM,

        /** It states that the request was not run. */
        REFUSED,

        /** Its status would be read as a promise that the endpoint did not make. */
        DOUBTFUL
    }
}
