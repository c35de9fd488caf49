package io.chicorytrestle.gateway.operations;

import com.google.common.flogger.MetadataKey;

/** Metadata keys of structured log lines. The labels are the field names of the JSON output. */
public final class LogFields {

    /** The caller's request identifier. */
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

    /** The reason for an action or a failure. */
    public static final MetadataKey<String> REASON = MetadataKey.single("reason", String.class);

    /** The outcome of an action. */
    public static final MetadataKey<String> OUTCOME = MetadataKey.single("outcome", String.class);

    /** The verdict on whether the request ran. */
    public static final MetadataKey<String> VERDICT = MetadataKey.single("verdict", String.class);

    /** The status code of a response. */
    public static final MetadataKey<Integer> STATUS = MetadataKey.single("status", Integer.class);

    /** How an endpoint's response declares the end of its body. */
    public static final MetadataKey<String> FRAMING = MetadataKey.single("framing", String.class);

    /** The number of bytes after the last complete event of a stream, which were not forwarded. */
    public static final MetadataKey<Integer> PARTIAL_EVENT_BYTES =
            MetadataKey.single("partial_event_bytes", Integer.class);

    /** The number of times the request was sent to an endpoint. */
    public static final MetadataKey<Integer> SENDS = MetadataKey.single("sends", Integer.class);

    /** The estimated number of requests on the chosen endpoint. */
    public static final MetadataKey<Double> LOAD = MetadataKey.single("load", Double.class);

    /** The identifier of the last shared prompt part. */
    public static final MetadataKey<String> PROMPT_PART =
            MetadataKey.single("prompt_part", String.class);

    /** The address of the endpoint from which cached prompt parts can be fetched. */
    public static final MetadataKey<String> FETCH_FROM =
            MetadataKey.single("fetch_from", String.class);

    /** The version of the routing table. */
    public static final MetadataKey<Long> VERSION = MetadataKey.single("version", Long.class);

    /** The age in milliseconds of the data on which the decision was based. */
    public static final MetadataKey<Long> AGE_MILLIS = MetadataKey.single("age_ms", Long.class);

    /** The time since the request's arrival, in milliseconds. */
    public static final MetadataKey<Long> ELAPSED_MILLIS =
            MetadataKey.single("elapsed_ms", Long.class);

    /** The time until the request's deadline, in milliseconds. */
    public static final MetadataKey<Long> REMAINING_MILLIS =
            MetadataKey.single("remaining_ms", Long.class);

    /** The delay after which the caller may retry, in milliseconds. */
    public static final MetadataKey<Long> RETRY_AFTER_MILLIS =
            MetadataKey.single("retry_after_ms", Long.class);

    /** The name of another entry instance. */
    public static final MetadataKey<String> PEER = MetadataKey.single("peer", String.class);

    /** The name of an availability zone. */
    public static final MetadataKey<String> ZONE = MetadataKey.single("zone", String.class);

    /** The number of items or events that a log line is about. */
    public static final MetadataKey<Integer> COUNT = MetadataKey.single("count", Integer.class);

    /** Prevents instantiation. */
    private LogFields() {}
}
