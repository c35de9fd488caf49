/** Configurations of a small deployment, as the operator writes them to the store. */
final class Configuration {

    static final String HOST = "ficu95.example";

    static final String KEY = "n2ctnfzs989anu6wsjnb";

    private Configuration() {}

    /** Returns a configuration whose routes go to the given service. */
    static String json(int version, String service) {
        return "{\"version\":" + version + ",\"routes\":["
                + route("r-safe", "/cufi504/", "idempotent", 2, 4000, service) + ","
                + route("r-once", "/puxa403/", "non_idempotent", 1, 15000, service)
                + "],\"services\":[" + service("huvo11a") + "," + service("wuno96b")
                + "],\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"" + KEY
                + "\"],\"priority\":1}]}";
    }

    private static String route(
            String name, String prefix, String kind, int attempts, int timeoutMillis, String service) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"" + prefix
                + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + timeoutMillis
                + ",\"latency_target_ms\":300,\"priority\":2,\"service\":\"" + service
                + "\",\"max_attempts\":" + attempts
                + ",\"public\":false,\"sticky\":false,\"can_resume\":false}";
    }

    private static String service(String name) {
        return "{\"name\":\"" + name
                + "\",\"health_path\":\"/healthz\",\"max_connections\":208,\"protocol\":\"h1\","
                + "\"tls\":false}";
    }
}
