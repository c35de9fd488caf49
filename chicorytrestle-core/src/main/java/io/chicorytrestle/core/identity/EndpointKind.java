package io.chicorytrestle.core.identity;

/** Enumerates the kinds of endpoints. */
public enum EndpointKind {

    /** An inference engine that batches requests and caches prompt prefixes. */
    ENGINE,

    /** A plain service without model, batching or prompt cache. */
    SERVICE
}
