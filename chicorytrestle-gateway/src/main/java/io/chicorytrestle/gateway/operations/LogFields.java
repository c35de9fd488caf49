package io.chicorytrestle.gateway.operations;

import com.google.common.flogger.MetadataKey;

/** Lists the fields of structured log lines. */
public final class LogFields {

    /** The identifier of the caller's attempt. */
    public static final MetadataKey<String> REQUEST = MetadataKey.single("request", String.class);

    /** The name of the route. */
    public static final MetadataKey<String> ROUTE = MetadataKey.single("route", String.class);

    /** The name of the service. */
    public static final MetadataKey<String> SERVICE = MetadataKey.single("service", String.class);

    /** The name of the workspace. */
    public static final MetadataKey<String> WORKSPACE =
            MetadataKey.single("workspace", String.class);

    /** The incarnation of the endpoint. */
    public static final MetadataKey<String> ENDPOINT = MetadataKey.single("endpoint", String.class);

    /** The address of the endpoint, peer or store. */
    public static final MetadataKey<String> ADDRESS = MetadataKey.single("address", String.class);

    /** Why something was done. */
    public static final MetadataKey<String> REASON = MetadataKey.single("reason", String.class);

    /** What was done. */
    public static final MetadataKey<String> OUTCOME = MetadataKey.single("outcome", String.class);

    /** Whether the request may have run. */
    public static final MetadataKey<String> VERDICT = MetadataKey.single("verdict", String.class);

    /** The status of an answer. */
    public static final MetadataKey<Integer> STATUS = MetadataKey.single("status", Integer.class);

    /** The number of endpoints to which the request was sent. */
    public static final MetadataKey<Integer> SENDS = MetadataKey.single("sends", Integer.class);

    /** The requests that the endpoint was believed to carry. */
    public static final MetadataKey<Double> LOAD = MetadataKey.single("load", Double.class);

    /** The last shared part of the prompt. */
    public static final MetadataKey<String> PROMPT_PART =
            MetadataKey.single("prompt_part", String.class);

    /** The address of the endpoint from which cached parts may be fetched. */
    public static final MetadataKey<String> FETCH_FROM =
            MetadataKey.single("fetch_from", String.class);

    /** The version of the routing table. */
    public static final MetadataKey<Long> VERSION = MetadataKey.single("version", Long.class);

    /** The age of what was decided on, in milliseconds. */
    public static final MetadataKey<Long> AGE_MILLIS = MetadataKey.single("age_ms", Long.class);

    /** The time since the request's arrival, in milliseconds. */
    public static final MetadataKey<Long> ELAPSED_MILLIS =
            MetadataKey.single("elapsed_ms", Long.class);

    /** The time left for the request, in milliseconds. */
    public static final MetadataKey<Long> REMAINING_MILLIS =
            MetadataKey.single("remaining_ms", Long.class);

    /** The delay after which the caller may come back, in milliseconds. */
    public static final MetadataKey<Long> RETRY_AFTER_MILLIS =
            MetadataKey.single("retry_after_ms", Long.class);

    /** The name of another instance. */
    public static final MetadataKey<String> PEER = MetadataKey.single("peer", String.class);

    /** How many things an event is about. */
    public static final MetadataKey<Integer> COUNT = MetadataKey.single("count", Integer.class);

    /** Not to be created. */
    private LogFields() {}
}
