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
import io.chicorytrestle.standin.model.SyntheticAnswer;
import io.chicorytrestle.standin.model.CacheEvent;
import io.chicorytrestle.standin.model.EngineEvent;
import io.chicorytrestle.standin.model.EngineLoad;
import io.chicorytrestle.standin.model.EngineModel;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Serves an engine model over HTTP. */
final class EngineStandIn extends EndpointStandIn {

    /** The most milliseconds between two steps of a busy engine. */
    private static final long MAXIMUM_STEP_MILLIS = 10;

    /** The most answers that are held for readers that resume. */
    private static final int MAXIMUM_RETAINED_RESPONSES = 4_096;

    /** The status of an unknown request. */
    private static final int STATUS_NOT_FOUND = 404;

    /** The status of an order with an old fencing number. */
    private static final int STATUS_PRECONDITION_FAILED = 412;

    /** The behaviour that all engines share. */
    private final Scenario.Platform platform;

    /** Answers the requests. */
    private final AsyncServlet servlet;

    /** The answers by request, oldest first. */
    private final Map<String, ResponseStream> responses =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, ResponseStream> eldest) {
                    return size() > MAXIMUM_RETAINED_RESPONSES;
                }
            };

    /** The engine's behaviour, replaced at each start. */
    private EngineModel model;

    /** The load as last reported. */
    private EngineProtocol.LoadReport report = new EngineProtocol.LoadReport(0, 0, 0, 0);

    /** The order that was obeyed last. */
    private EngineProtocol.Order lastOrder = new EngineProtocol.Order(0, "", "", "", "");

    /** What the engine did in all its runs. */
    private EngineReport.Totals totals = EngineReport.Totals.ZERO;

    /** The time of the next step in milliseconds, or a huge value if none is due. */
    private long nextStepMillis = Long.MAX_VALUE;

    /**
     * Creates a new engine, which does not run yet.
     *
     * @param reactor The event loop.
     * @param host The IP number to listen on.
     * @param specification Describes the engine.
     * @param platform The behaviour that all engines share.
     * @param onChange Called when what the instance list shows has changed.
     */
    EngineStandIn(
            NioReactor reactor,
            String host,
            Scenario.EndpointSpecification specification,
            Scenario.Platform platform,
            Runnable onChange) {
        super(reactor, host, specification, onChange);
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
        report = new EngineProtocol.LoadReport(incarnation(), 0, 0, 0);
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
     * Starts to generate an answer.
     *
     * @param request The request.
     * @return The stream of frames.
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
     * Starts to generate an answer; a request that the engine knows is not run again.
     *
     * @param generate What to generate.
     * @return The stream of frames.
     */
    private Promise<HttpResponse> generate(EngineProtocol.Generate generate) {
        totals = totals.withRequest();
        ResponseStream known = responses.get(generate.requestId());
        if (known != null) {
            return streamResponse(known, 0);
        }
        ChatKey chat = new ChatKey(generate.workspace(), generate.chat());
        SyntheticAnswer text = SyntheticAnswer.forPrompt(chat, generate.prompt(), generate.maximumTokens());
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
        ResponseStream answer = new ResponseStream(generate.requestId(), text);
        responses.put(generate.requestId(), answer);
        if (generate.prompt().contains(platform.crashWord())) {
            reactor.delayBackground(MAXIMUM_STEP_MILLIS, this::crashAndRestart);
        }
        Promise<HttpResponse> response = streamResponse(answer, 0);
        advanceModel();
        return response;
    }

    /** Crashes, and runs again after the platform's delay. */
    private void crashAndRestart() {
        if (isRunning()) {
            crash();
            reactor.delayBackground(platform.restartMillis(), this::startUnchecked);
        }
    }

    /**
     * Continues a stream.
     *
     * @param request The request.
     * @return The stream of frames.
     */
    private Promise<HttpResponse> resumeStream(HttpRequest request) {
        ResponseStream answer = responses.get(request.getPathParameter("id"));
        String from = request.getQueryParameter("from");
        return answer == null
                ? JsonResponses.ofStatus(STATUS_NOT_FOUND)
                : streamResponse(answer, from == null ? 0 : Integer.parseInt(from));
    }

    /**
     * Streams an answer.
     *
     * @param answer The answer.
     * @param from The first frame.
     * @return The stream of frames.
     */
    private Promise<HttpResponse> streamResponse(ResponseStream answer, int from) {
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/x-ndjson")
                .withBodyStream(answer.openReader(from, faults()))
                .toPromise();
    }

    /**
     * Cancels a request.
     *
     * @param request The request.
     * @return An answer without a body.
     */
    private Promise<HttpResponse> cancel(HttpRequest request) {
        String id = request.getPathParameter("id");
        ResponseStream answer = responses.get(id);
        if (answer == null) {
            return JsonResponses.ofStatus(STATUS_NOT_FOUND);
        }
        if (model.cancel(id, reactor.currentTimeMillis())) {
            totals = totals.withCancelled();
            answer.cancel();
        }
        advanceModel();
        return HttpResponse.ok200().toPromise();
    }

    /**
     * Reports the load with a lag.
     *
     * @return The report.
     */
    private EngineProtocol.LoadReport loadReport() {
        long now = reactor.currentTimeMillis();
        if (now - report.asOfMillis() >= platform.loadLagMillis()) {
            EngineLoad load = model.load();
            report =
                    new EngineProtocol.LoadReport(
                            incarnation(), load.running(), load.queued(), now);
        }
        return report;
    }

    /**
     * Tells of changes of the cache, late and with gaps.
     *
     * @param request The request.
     * @return The events.
     */
    private Promise<HttpResponse> cacheEvents(HttpRequest request) {
        String parameter = request.getQueryParameter("after");
        long after = parameter == null ? 0 : Long.parseLong(parameter);
        long until = reactor.currentTimeMillis() - platform.cacheEventLagMillis();
        List<CacheEvent> events = model.cacheEvents(after, until);
        long next = events.isEmpty() ? after : events.get(events.size() - 1).number();
        int loss = platform.cacheEventLossEvery();
        return JsonResponses.ok(
                new EngineProtocol.CacheEvents(
                        events.stream()
                                .filter(event -> loss == 0 || event.number() % loss != 0)
                                .map(EngineProtocol.ListedCacheEvent::of)
                                .toList(),
                        next));
    }

    /**
     * Exports a chat's tokens.
     *
     * @param request The request.
     * @return The tokens.
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
     * Imports a chat's tokens.
     *
     * @param request The request.
     * @return An answer without a body.
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
     * Obeys an order, unless its fencing number is checked and old.
     *
     * @param request The request.
     * @return An answer without a body.
     */
    private Promise<HttpResponse> handleOrder(HttpRequest request) {
        return request.loadBody(JsonResponses.MAXIMUM_BODY_BYTES)
                .then(
                        body -> {
                            EngineProtocol.Order given =
                                    JsonResponses.MAPPER.readValue(
                                            body.getArray(), EngineProtocol.Order.class);
                            if (specification.checksFences() && given.fence() < lastOrder.fence()) {
                                return JsonResponses.ofStatus(STATUS_PRECONDITION_FAILED);
                            }
                            lastOrder = given;
                            return HttpResponse.ok200().toPromise();
                        });
    }

    /** Moves the model to the present and hands out what was generated. */
    private void advanceModel() {
        if (isPaused() || !isRunning()) {
            return;
        }
        long now = reactor.currentTimeMillis();
        model.advance(now).forEach(this::applyEvent);
        model.nextEventMillis().ifPresent(next -> scheduleStep(now, next));
    }

    /**
     * Plans the next step, unless one is planned that is soon enough.
     *
     * @param now The present time in milliseconds.
     * @param next The time of the model's next event in milliseconds.
     */
    private void scheduleStep(long now, long next) {
        long at = Math.max(now + 1, Math.min(next, now + MAXIMUM_STEP_MILLIS));
        if (at < nextStepMillis || nextStepMillis <= now) {
            nextStepMillis = at;
            reactor.scheduleBackground(
                    at,
                    () -> {
                        if (nextStepMillis == at) {
                            nextStepMillis = Long.MAX_VALUE;
                            advanceModel();
                        }
                    });
        }
    }

    /**
     * Hands out what happened to a request.
     *
     * @param event What happened.
     */
    private void applyEvent(EngineEvent event) {
        ResponseStream answer = responses.get(event.requestId());
        if (event instanceof EngineEvent.Finished finished) {
            totals =
                    totals.withFinished(finished.usage().promptTokens(), finished.usage().cachedTokens());
            if (answer != null) {
                answer.finish(finished.usage());
            }
        } else if (event instanceof EngineEvent.Progressed progressed && answer != null) {
            answer.onTokensGenerated(progressed.generatedTokens());
        }
    }
}
