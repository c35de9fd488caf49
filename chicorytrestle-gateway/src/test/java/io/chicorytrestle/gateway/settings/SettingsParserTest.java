package io.chicorytrestle.gateway.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.chicorytrestle.core.placement.ColdStartBound;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SettingsParserTest {

    private static final String COMPLETE_SETTINGS =
            """
            {"instance_name": "i", "availability_zone": "z", "caller_address": "10.0.0.1:1",
             "ready_address": "10.0.0.1:2", "peer_address": "10.0.0.1:3", "seeds": ["10.0.0.2:3"],
             "store_address": "10.0.0.9:4", "store_history_s": 20, "grace_s": 8, "drain_ms": 2000, "retry_ratio": 0.2,
             "retry_slack": 129, "load_multiple": 2, "zone_regions": {"z": "north"}, "later": true}
            """;

    @Test
    void testParseWhenFieldIsUnknown() throws InvalidSettingsException {
        GatewaySettings settings = SettingsParser.parse(COMPLETE_SETTINGS);

        assertThat(settings.graceMillis(), equalTo(8_000L));
        assertThat(settings.seeds().get(0), equalTo("10.0.0.2:3"));
        assertThat(settings.zoneRegions(), equalTo(Map.of("z", "north")));
    }

    @Test
    void testParseWhenSeveralSettingsAreInvalid() {
        String invalid =
                COMPLETE_SETTINGS
                        .replace("\"10.0.0.1:1\"", "\"somewhere\"")
                        .replace("\"grace_s\": 8", "\"grace_s\": -1")
                        .replace("{\"z\": \"north\"}", "3")
                        .replace("\"availability_zone\": \"z\", ", "");

        InvalidSettingsException exception =
                assertThrows(InvalidSettingsException.class, () -> SettingsParser.parse(invalid));

        assertThat(
                exception.getMessage(),
                allOf(
                        containsString("caller_address"),
                        containsString("grace_s"),
                        containsString("zone_regions"),
                        containsString("availability_zone")));
    }

    @Test
    void testParseWhenTheBoundOnColdEndpointsIsPresent() throws InvalidSettingsException {
        String bounded =
                COMPLETE_SETTINGS.replace(
                        "\"later\"",
                        "\"cold_start_overage\": 1.5, \"cold_start_slack\": 5, \"later\"");

        assertThat(
                SettingsParser.parse(bounded).coldStartBound(),
                equalTo(Optional.of(new ColdStartBound(1.5, 5))));
        assertThat(
                SettingsParser.parse(COMPLETE_SETTINGS).coldStartBound(),
                equalTo(Optional.empty()));
        assertThrows(
                InvalidSettingsException.class,
                () -> SettingsParser.parse(bounded.replace("1.5", "null")));
    }

    @Test
    void testParseWhenTextIsNotAnObject() {
        assertThrows(InvalidSettingsException.class, () -> SettingsParser.parse("[1"));
    }
}
