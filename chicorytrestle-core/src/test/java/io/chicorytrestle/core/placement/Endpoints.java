package io.chicorytrestle.core.placement;

import java.util.List;
import java.util.Map;
import java.util.Set;

/** Creates endpoints, views and prompts for the tests of this package. */
final class Endpoints {

    static final String SERVICE = "pool";

    private Endpoints() {}

    static ServingEndpoint ready(String id, String zone) {
        return new ServingEndpoint(id, SERVICE, "10.0.0." + id + ":80", zone, 64, false, 1);
    }

    static ServingView view(ServingEndpoint... endpoints) {
        return new ServingView(Map.of(SERVICE, List.of(endpoints)), List.of(), Set.of(), Set.of());
    }

    static Prompt prompt(String shared) {
        return new Prompt(
                "m",
                1_000,
                10,
                List.of(
                        new PromptPart("system", 500),
                        new PromptPart(shared, 400),
                        new PromptPart("own", 100)));
    }
}
