package io.chicorytrestle.standin.model;

/**
 * The number of requests that an engine runs and queues.
 *
 * @param running The number of requests in the batch.
 * @param queued The number of requests that wait for a batch slot.
 */
public record EngineLoad(int running, int queued) {}
