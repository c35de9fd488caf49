package io.chicorytrestle.gateway.settings;

import com.google.common.flogger.FluentLogger;
import io.activej.reactor.nio.NioReactor;
import io.chicorytrestle.core.process.SignalWatch;
import io.chicorytrestle.gateway.operations.LogFields;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;

/** Reads the settings file, and reads it again after a signal or when its content changed. */
public final class SettingsFile {

    /** Reports settings that cannot be used. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * The time in milliseconds between two looks at the file, which may change without a signal.
     */
    private static final long LOOK_MILLIS = 5_000;

    /** The path. */
    private final Path path;

    /** The text that was read last. */
    private String text = "";

    /**
     * Creates a new file.
     *
     * @param path The path.
     */
    public SettingsFile(Path path) {
        this.path = path;
    }

    /**
     * Reads the settings.
     *
     * @return The settings.
     * @throws IOException If the file cannot be read.
     * @throws SettingsFaultException If a setting cannot be used.
     */
    public GatewaySettings read() throws IOException, SettingsFaultException {
        text = Files.readString(path);
        return SettingsParser.parse(text);
    }

    /**
     * Follows the file from now on.
     *
     * @param reactor The event loop.
     * @param changes Takes changed settings.
     */
    public void watch(NioReactor reactor, Consumer<GatewaySettings> changes) {
        SignalWatch.watch(SignalWatch.RELOAD, () -> reactor.execute(() -> look(changes)));
        again(reactor, changes);
    }

    /**
     * Plans the next look at the file.
     *
     * @param reactor The event loop.
     * @param changes Takes changed settings.
     */
    private void again(NioReactor reactor, Consumer<GatewaySettings> changes) {
        reactor.delayBackground(
                LOOK_MILLIS,
                () -> {
                    look(changes);
                    again(reactor, changes);
                });
    }

    /**
     * Reads the file and takes its settings if they changed. Faulty settings change nothing.
     *
     * @param changes Takes changed settings.
     */
    private void look(Consumer<GatewaySettings> changes) {
        String before = text;
        try {
            GatewaySettings settings = read();
            if (!text.equals(before)) {
                changes.accept(settings);
            }
        } catch (IOException | SettingsFaultException exception) {
            if (!text.equals(before)) {
                LOGGER.atWarning()
                        .with(LogFields.REASON, String.valueOf(exception.getMessage()))
                        .log("settings_refused");
            }
        }
    }
}
