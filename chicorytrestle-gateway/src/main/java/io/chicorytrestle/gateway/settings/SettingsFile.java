package io.chicorytrestle.gateway.settings;

import com.google.common.flogger.FluentLogger;
import io.activej.reactor.nio.NioReactor;
import io.chicorytrestle.core.process.SignalHandlers;
import io.chicorytrestle.gateway.operations.LogFields;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;

/** Reads the settings file and reloads it after a reload signal or when its content changes. */
public final class SettingsFile {

    /** Logs rejected settings. */
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * The interval in milliseconds at which the file is checked, since it may change without a
     * signal.
     */
    private static final long CHECK_INTERVAL_MILLIS = 5_000;

    /** The path of the settings file. */
    private final Path path;

    /** The content at the last read, valid or not; compared to detect a change. */
    private String lastText = "";

    /**
     * Creates a reader, which reads nothing yet.
     *
     * @param path The path of the settings file.
     */
    public SettingsFile(Path path) {
        this.path = path;
    }

    /**
     * Reads and validates the settings.
     *
     * @return The settings.
     * @throws IOException If the file cannot be read.
     * @throws InvalidSettingsException If a setting is missing, malformed or out of range.
     */
    public GatewaySettings read() throws IOException, InvalidSettingsException {
        lastText = Files.readString(path);
        return SettingsParser.parse(lastText);
    }

    /**
     * Starts to watch the file: checks it at a fixed interval and after each reload signal, on the
     * event loop thread.
     *
     * @param reactor The event loop.
     * @param changes Called with the new settings after each valid change.
     */
    public void watch(NioReactor reactor, Consumer<GatewaySettings> changes) {
        SignalHandlers.install(
                SignalHandlers.RELOAD_SIGNALS,
                () -> reactor.execute(() -> reloadIfChanged(changes)));
        scheduleCheck(reactor, changes);
    }

    /**
     * Schedules the next check of the file.
     *
     * @param reactor The event loop.
     * @param changes Called with the new settings after each valid change.
     */
    private void scheduleCheck(NioReactor reactor, Consumer<GatewaySettings> changes) {
        reactor.delayBackground(
                CHECK_INTERVAL_MILLIS,
                () -> {
                    scheduleCheck(reactor, changes);
                    reloadIfChanged(changes);
                });
    }

    /**
     * Reads the file and passes on its settings if its content changed. Invalid settings are logged
     * once and otherwise ignored.
     *
     * @param changes Called with the new settings after each valid change.
     */
    private void reloadIfChanged(Consumer<GatewaySettings> changes) {
        String previousText = lastText;
        try {
            GatewaySettings settings = read();
            if (!lastText.equals(previousText)) {
                changes.accept(settings);
            }
        } catch (IOException | InvalidSettingsException exception) {
            if (!lastText.equals(previousText)) {
                LOGGER.atWarning()
                        .with(LogFields.REASON, String.valueOf(exception.getMessage()))
                        .log("settings_refused");
            }
        }
    }
}
