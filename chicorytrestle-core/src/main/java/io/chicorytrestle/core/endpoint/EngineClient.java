package io.chicorytrestle.core.endpoint;

import io.chicorytrestle.core.identity.Endpoint;

/**
 * Sends requests to engines. Implementations are thread-safe.
 *
 * <p>A failure has the verdict {@code NOT_RUN} only if no byte of the request was written to the
 * engine's connection, or if the engine responded with a refusal that its protocol defines as not
 * run.
 */
public interface EngineClient {

    /**
     * Starts the generation of a response.
     *
     * @param engine The engine.
     * @param request The request.
     * @param listener Receives the frames of the response, from sequence number zero on.
     */
    void generate(Endpoint engine, GenerateRequest request, FrameListener listener);

    /**
     * Resumes the stream of a request that the engine is executing or whose response it still
     * holds. The engine doesn't execute the request again; the stream fails with the code {@code
     * NOT_FOUND} if the engine doesn't know the request.
     *
     * @param engine The engine.
     * @param requestId The identifier of the request.
     * @param fromSequence The sequence number of the first frame to receive.
     * @param listener Receives the frames of the response.
     */
    void resume(Endpoint engine, String requestId, long fromSequence, FrameListener listener);

    /**
     * Cancels a request if the engine is executing it.
     *
     * @param engine The engine.
     * @param requestId The identifier of the request.
     */
    void cancel(Endpoint engine, String requestId);
}
