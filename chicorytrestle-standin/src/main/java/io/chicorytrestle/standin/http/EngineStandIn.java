package io.chicorytrestle.standin.http;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import io.chicorytrestle.core.identity.ChatKey;
import io.chicorytrestle.standin.model.CacheEvent;
import io.chicorytrestle.standin.model.EngineEvent;
import io.chicorytrestle.standin.model.EngineLoad;
import io.chicorytrestle.standin.model.EngineModel;
import io.chicorytrestle.standin.model.SyntheticAnswer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Serves an engine model over HTTP. */
final class EngineStandIn extends EndpointStandIn {

    /** The maximum time between two advances of a busy engine's model, in milliseconds. */
    private static final long MAXIMUM_STEP_MILLIS = 10;

    /** The maximum number of responses that are retained for readers that resume a stream. */
    private static final int MAXIMUM_RETAINED_RESPONSES = 4_096;

    /** The status of an unknown request. */
    private static final int STATUS_NOT_FOUND = 404;

    /** The status of an order with an outdated fencing token. */
    private static final int STATUS_PRECONDITION_FAILED = 412;

    /** The platform settings that all engines share. */
    private final Scenario.Platform platform;

    /** Handles the requests. */
    private final AsyncServlet servlet;

    /**
     * The responses by request identifier, oldest first; the oldest is dropped above the maximum.
     */
    private final Map<String, ResponseStream> responses =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, ResponseStream> eldest) {
                    return size() > MAXIMUM_RETAINED_RESPONSES;
                }
            };

    /**
     * Simulates the batch, the queue and the prefix cache; replaced by an empty one after a crash.
     */
    private EngineModel model;

    /** The latest load report, which is sent again until the platform's lag has passed. */
    private EngineProtocol.LoadReport lastLoadReport = new EngineProtocol.LoadReport(0, 0, 0, 0);

    /** The last accepted order, with fencing token zero before the first. */
    private EngineProtocol.Order lastOrder = new EngineProtocol.Order(0, "", "", "", "");

    /** The counters, which are kept over crashes. */
    private EngineReport.Totals totals = EngineReport.Totals.ZERO;

    /**
     * The time of the next scheduled advance of the model in milliseconds, or {@link
     * Long#MAX_VALUE} if none is scheduled.
     */
    private long nextStepMillis = Long.MAX_VALUE;

    /**
     * Creates a new engine, which is not started yet.
     *
     * @param reactor The event loop.
     * @param host The IP address to bind.
     * @param specification Describes the engine.
     * @param platform The platform settings that all engines share.
     * @param onListingChange Called after each change of this endpoint's entry in the instance
     *     list.
     */
    EngineStandIn(
            NioReactor reactor,
            String host,
            Scenario.EndpointSpecification specification,
            Scenario.Platform platform,
            Runnable onListingChange) {
        super(reactor, host, specification, onListingChange);
        this.platform = platform;
        model = new EngineModel(specification.profileOrDefault());
        servlet =
                RoutingServlet.builder(reactor)
                        .with(HttpMethod.POST, "/v1/generate", this::generate)
                        .with(HttpMethod.GET, "/v1/requests/:id", this::resumeStream)
                        .with(HttpMethod.DELETE, "/v1/requests/:id", this::cancel)
                        .with(HttpMethod.GET, "/v1/load", request -> JsonResponses.ok(loadReport()))
                        .with(HttpMethod.GET, "/v1/cache-events", this::cacheEvents)
                        .with(HttpMethod.GET, "/v1/kv/:workspace/:chat", this::exportCache)
                        .with(HttpMethod.PUT, "/v1/kv/:workspace/:chat", this::importCache)
                        .with(HttpMethod.POST, "/v1/orders", this::handleOrder)
                        .build();
    }

    @Override
    AsyncServlet servlet() {
        return servlet;
    }

    @Override
    void resetState() {
        responses.values().forEach(ResponseStream::breakConnections);
        responses.clear();
        model = new EngineModel(specification.profileOrDefault());
        lastLoadReport = new EngineProtocol.LoadReport(incarnation(), 0, 0, 0);
        lastOrder = new EngineProtocol.Order(0, "", "", "", "");
    }

    @Override
    void onResumed() {
        advanceModel();
    }

    @Override
    Object report() {
        EngineLoad load = model.load();
        return new EngineReport(
                name(), incarnation(), isRunning(), isLeaving(), load, totals, lastOrder);
    }

    /**
     * Decodes a request and starts to generate its response.
     *
     * @param request The request.
     * @return The stream of frames, or a refusal.
     */
    private Promise<HttpResponse> generate(HttpRequest request) {
        return request.loadBody(JsonResponses.MAXIMUM_BODY_BYTES)
                .then(
                        body ->
                                generate(
                                        JsonResponses.MAPPER.readValue(
                                                body.getArray(), EngineProtocol.Generate.class)));
    }

    /**
     * Starts to generate a response. A request identifier that the engine already knows is not run
     * again but gets the stream of the existing response.
     *
     * @param generate The decoded request.
     * @return The stream of frames, or a refusal.
     */
    private Promise<HttpResponse> generate(EngineProtocol.Generate generate) {
        totals = totals.withRequest();
        ResponseStream existing = responses.get(generate.requestId());
        if (existing != null) {
            return streamResponse(existing, 0);
        }
        ChatKey chat = new ChatKey(generate.workspace(), generate.chat());
        SyntheticAnswer text =
                SyntheticAnswer.forPrompt(chat, generate.prompt(), generate.maximumTokens());
        int promptTokens = SyntheticAnswer.estimatePromptTokens(generate.prompt());
        boolean accepted =
                !isLeaving()
                        && model.submit(
                                generate.requestId(),
                                chat,
                                promptTokens,
                                text.tokens(),
                                generate.priority(),
                                reactor.currentTimeMillis());
        if (!accepted) {
            totals = totals.withRefused();
            return JsonResponses.notRun();
        }
        ResponseStream stream = new ResponseStream(generate.requestId(), text);
        responses.put(generate.requestId(), stream);
        if (generate.prompt().contains(platform.crashWord())) {
            reactor.delayBackground(MAXIMUM_STEP_MILLIS, this::crashAndRestart);
        }
        Promise<HttpResponse> response = streamResponse(stream, 0);
        advanceModel();
        return response;
    }

    /** Crashes the engine, if it is running, and restarts it after the platform's delay. */
    private void crashAndRestart() {
        if (isRunning()) {
            crash();
            reactor.delayBackground(platform.restartMillis(), this::startUnchecked);
        }
    }

    /**
     * Streams a response again, from a given frame on.
     *
     * @param request The request.
     * @return The stream of frames, or a refusal.
     */
    private Promise<HttpResponse> resumeStream(HttpRequest request) {
        ResponseStream stream = responses.get(request.getPathParameter("id"));
        String fromSequence = request.getQueryParameter("from");
        return stream == null
                ? JsonResponses.ofStatus(STATUS_NOT_FOUND)
                : streamResponse(stream, fromSequence == null ? 0 : Integer.parseInt(fromSequence));
    }

    /**
     * Opens a stream of a response as lines of JSON.
     *
     * @param stream The response.
     * @param fromSequence The position of the first frame.
     * @return The stream of frames, or a refusal.
     */
    private Promise<HttpResponse> streamResponse(ResponseStream stream, int fromSequence) {
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/x-ndjson")
                .withBodyStream(stream.openReader(fromSequence, faults()))
                .toPromise();
    }

    /**
     * Cancels a request, unless it is finished.
     *
     * @param request The request.
     * @return An empty response.
     */
    private Promise<HttpResponse> cancel(HttpRequest request) {
        String id = request.getPathParameter("id");
        ResponseStream stream = responses.get(id);
        if (stream == null) {
            return JsonResponses.ofStatus(STATUS_NOT_FOUND);
        }
        if (model.cancel(id, reactor.currentTimeMillis())) {
            totals = totals.withCancelled();
            stream.cancel();
        }
        advanceModel();
        return HttpResponse.ok200().toPromise();
    }

    /**
     * Returns the load, which is refreshed only after the platform's lag.
     *
     * @return The report.
     */
    private EngineProtocol.LoadReport loadReport() {
        long nowMillis = reactor.currentTimeMillis();
        if (nowMillis - lastLoadReport.asOfMillis() >= platform.loadLagMillis()) {
            EngineLoad load = model.load();
            lastLoadReport =
                    new EngineProtocol.LoadReport(
                            incarnation(), load.running(), load.queued(), nowMillis);
        }
        return lastLoadReport;
    }

    /**
     * Returns changes of the prefix cache, delayed by the platform's lag and with every n-th event
     * left out.
     *
     * @param request The request.
     * @return The events that are old enough.
     */
    private Promise<HttpResponse> cacheEvents(HttpRequest request) {
        String parameter = request.getQueryParameter("after");
        long after = parameter == null ? 0 : Long.parseLong(parameter);
        long untilMillis = reactor.currentTimeMillis() - platform.cacheEventLagMillis();
        List<CacheEvent> events = model.cacheEvents(after, untilMillis);
        long next = events.isEmpty() ? after : events.get(events.size() - 1).number();
        int lossInterval = platform.cacheEventLossEvery();
        return JsonResponses.ok(
                new EngineProtocol.CacheEvents(
                        events.stream()
                                .filter(
                                        event ->
                                                lossInterval == 0
                                                        || event.number() % lossInterval != 0)
                                .map(EngineProtocol.ListedCacheEvent::of)
                                .toList(),
                        next));
    }

    /**
     * Reports how many tokens of a chat the prefix cache holds.
     *
     * @param request The request.
     * @return The number of tokens, or status 404 if there are none.
     */
    private Promise<HttpResponse> exportCache(HttpRequest request) {
        String workspace = request.getPathParameter("workspace");
        String chat = request.getPathParameter("chat");
        int tokens = model.exportCache(new ChatKey(workspace, chat));
        return tokens == 0
                ? JsonResponses.ofStatus(STATUS_NOT_FOUND)
                : JsonResponses.ok(new EngineProtocol.CachedChat(workspace, chat, tokens));
    }

    /**
     * Puts a chat's tokens into the prefix cache.
     *
     * @param request The request.
     * @return An empty response.
     */
    private Promise<HttpResponse> importCache(HttpRequest request) {
        return request.loadBody(JsonResponses.MAXIMUM_BODY_BYTES)
                .then(
                        body -> {
                            EngineProtocol.CachedChat chat =
                                    JsonResponses.MAPPER.readValue(
                                            body.getArray(), EngineProtocol.CachedChat.class);
                            model.importCache(
                                    new ChatKey(chat.workspace(), chat.chat()),
                                    chat.tokens(),
                                    reactor.currentTimeMillis());
                            return HttpResponse.ok200().toPromise();
                        });
    }

    /**
     * Accepts an order, unless this engine checks fencing tokens and the order's is lower than that
     * of the last one.
     *
     * @param request The request.
     * @return An empty response.
     */
    private Promise<HttpResponse> handleOrder(HttpRequest request) {
        return request.loadBody(JsonResponses.MAXIMUM_BODY_BYTES)
                .then(
                        body -> {
                            EngineProtocol.Order received =
                                    JsonResponses.MAPPER.readValue(
                                            body.getArray(), EngineProtocol.Order.class);
                            if (specification.checksFences()
                                    && received.fence() < lastOrder.fence()) {
                                return JsonResponses.ofStatus(STATUS_PRECONDITION_FAILED);
                            }
                            lastOrder = received;
                            return HttpResponse.ok200().toPromise();
                        });
    }

    /**
     * Advances the model to the current time, sends what was generated and schedules the next
     * advance. A paused engine does not advance.
     */
    private void advanceModel() {
        if (isPaused() || !isRunning()) {
            return;
        }
        long nowMillis = reactor.currentTimeMillis();
        model.advance(nowMillis).forEach(this::applyEvent);
        model.nextEventMillis()
                .ifPresent(nextEventMillis -> scheduleStep(nowMillis, nextEventMillis));
    }

    /**
     * Schedules the next advance of the model, unless an earlier one is scheduled already.
     *
     * @param nowMillis The current time in milliseconds.
     * @param nextEventMillis The time of the model's next event in milliseconds.
     */
    private void scheduleStep(long nowMillis, long nextEventMillis) {
        long stepMillis =
                Math.max(nowMillis + 1, Math.min(nextEventMillis, nowMillis + MAXIMUM_STEP_MILLIS));
        if (stepMillis < nextStepMillis || nextStepMillis <= nowMillis) {
            nextStepMillis = stepMillis;
            reactor.scheduleBackground(
                    stepMillis,
                    () -> {
                        if (nextStepMillis == stepMillis) {
                            nextStepMillis = Long.MAX_VALUE;
                            advanceModel();
                        }
                    });
        }
    }

    /**
     * Updates the counters and the response of a request after an event of the model.
     *
     * @param event The event.
     */
    private void applyEvent(EngineEvent event) {
        ResponseStream stream = responses.get(event.requestId());
        if (event instanceof EngineEvent.Finished finished) {
            totals =
                    totals.withFinished(
                            finished.usage().promptTokens(), finished.usage().cachedTokens());
            if (stream != null) {
                stream.finish(finished.usage());
            }
        } else if (event instanceof EngineEvent.Progressed progressed && stream != null) {
            stream.onTokensGenerated(progressed.generatedTokens());
        }
    }
}
