package io.chicorytrestle.daemon.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import org.junit.jupiter.api.Test;

class SettingsTest {

    private static final String VALID =
            """
            instance: {name: entry-1, zone: palermo}
            callers: {host: 10.0.0.1, port: 0}
            operators: {host: 10.0.0.1, port: 0}
            peers: {host: 10.0.0.1, port: 0, keys: [{id: k1, secret: 0123456789abcdef}]}
            platform: {configuration: "http://10.0.0.2:90", instanceList: "http://10.0.0.2:91",
              weightStore: "http://10.0.0.2:92"}
            tickets: {keys: [{id: k1, secret: 0123456789abcdef}]}
            """;

    @Test
    void testParseWhenOnlyRequiredKeysAreGiven() throws Exception {
        Settings settings = Settings.parse(VALID);

        assertThat(settings.callers().threads(), is(2));
        assertThat(settings.peers().bytesPerSecond(), is(5_000));
        assertThat(settings.endpoints().checkFencing(), is(List.of()));
    }

    @Test
    void testValidateWhenSeveralValuesAreInvalid() {
        String text =
                VALID.replace("10.0.0.1, port: 0}", "somewhere, port: 70000}")
                        .replace("zone: palermo", "zone: \"\"");

        assertThat(
                Settings.validate(text).stream().map(SettingsFault::path).toList(),
                hasItems(
                        "instance.zone",
                        "callers.host",
                        "callers.port",
                        "operators.host",
                        "operators.port"));
    }

    @Test
    void testValidateWhenKeyIsUnknown() {
        List<SettingsFault> faults =
                Settings.validate(VALID.replace("callers: {", "callers: {thread: 3, "));

        assertThat(faults.size(), is(1));
        assertThat(faults.get(0).path(), is("callers.thread"));
        assertThat(faults.get(0).allowed(), containsString("did you mean threads?"));
    }

    @Test
    void testValidateWhenKeyIsDuplicated() {
        assertThat(Settings.validate(VALID + "drain: {}\ndrain: {}\n").size(), is(1));
    }

    @Test
    void testValidateWhenTextIsEmpty() {
        assertThat(Settings.validate("").isEmpty(), is(false));
    }

    @Test
    void testValidateWhenSecretIsTooShort() {
        String output = Settings.validate(VALID.replace("0123456789abcdef", "hush")).toString();

        assertThat(output, containsString("peers.keys[0].secret"));
        assertThat(output, not(containsString("hush")));
    }

    @Test
    void testValidateWhenSecretIsMisplaced() {
        String output =
                Settings.validate(
                                VALID.replace(
                                        "[{id: k1, secret: 0123456789abcdef}]",
                                        "[0123456789abcdef]"))
                        .toString();

        assertThat(output, not(containsString("0123456789abcdef")));
    }

    @Test
    void testToStringWhenSettingsHoldSecrets() throws Exception {
        assertThat(Settings.parse(VALID).toString(), not(containsString("0123456789abcdef")));
    }
}
