package io.chicorytrestle.gateway.settings;

import com.google.common.flogger.FluentLogger;
import io.activej.reactor.nio.NioReactor;
import io.chicorytrestle.core.process.SignalHandlers;
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
    private static final long CHECK_INTERVAL_MILLIS = 5_000;

    /** The path. */
    private final Path path;

    /** The text that was read last. */
    private String lastText = "";

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
     * @throws InvalidSettingsException If a setting cannot be used.
     */
    public GatewaySettings read() throws IOException, InvalidSettingsException {
        lastText = Files.readString(path);
        return SettingsParser.parse(lastText);
    }

    /**
     * Follows the file from now on.
     *
     * @param reactor The event loop.
     * @param changes Takes changed settings.
     */
    public void watch(NioReactor reactor, Consumer<GatewaySettings> changes) {
        SignalHandlers.install(
                SignalHandlers.RELOAD_SIGNALS,
                () -> reactor.execute(() -> reloadIfChanged(changes)));
        scheduleCheck(reactor, changes);
    }

    /**
     * Plans the next look at the file.
     *
     * @param reactor The event loop.
     * @param changes Takes changed settings.
     */
    private void scheduleCheck(NioReactor reactor, Consumer<GatewaySettings> changes) {
        reactor.delayBackground(
                CHECK_INTERVAL_MILLIS,
                () -> {
                    reloadIfChanged(changes);
                    scheduleCheck(reactor, changes);
                });
    }

    /**
     * Reads the file and takes its settings if they changed. Faulty settings change nothing.
     *
     * @param changes Takes changed settings.
     */
    private void reloadIfChanged(Consumer<GatewaySettings> changes) {
        String before = lastText;
        try {
            GatewaySettings settings = read();
            if (!lastText.equals(before)) {
                changes.accept(settings);
            }
        } catch (IOException | InvalidSettingsException exception) {
            if (!lastText.equals(before)) {
                LOGGER.atWarning()
                        .with(LogFields.REASON, String.valueOf(exception.getMessage()))
                        .log("settings_refused");
            }
        }
    }
}
