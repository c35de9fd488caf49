package io.chicorytrestle.daemon;

import io.chicorytrestle.core.process.SignalHandlers;
import io.chicorytrestle.daemon.settings.Settings;
import io.chicorytrestle.daemon.settings.SettingsException;
import io.chicorytrestle.daemon.settings.SettingsFault;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Starts an entry instance as a process of its own and drains it on a termination signal. */
public final class DaemonMain {

    /** The name of the option with the path of the settings file. */
    private static final String SETTINGS = "settings";

    /** Not instantiable. */
    private DaemonMain() {}

    /**
     * Runs an entry instance until it is terminated by a signal.
     *
     * @param arguments The command line.
     */
    public static void main(String[] arguments) {
        Optional<Settings> settings = readSettings(arguments, System.err);
        if (settings.isEmpty()) {
            System.exit(ExitCode.USAGE.number());
            return;
        }
        System.exit(run(settings.get()).number());
    }

    /**
     * Runs an entry instance until it has drained after a first signal, or until a second signal.
     *
     * @param settings The settings.
     * @return The exit code.
     */
    private static ExitCode run(Settings settings) {
        DaemonNode node;
        try {
            node = DaemonNode.start(settings);
        } catch (IOException exception) {
            System.err.println(exception.getMessage());
            return ExitCode.START_FAILED;
        }
        CompletableFuture<Boolean> drained = new CompletableFuture<>();
        AtomicBoolean signalled = new AtomicBoolean();
        SignalHandlers.install(
                SignalHandlers.TERMINATION_SIGNALS,
                () -> {
                    if (signalled.getAndSet(true)) {
                        drained.complete(false);
                    } else {
                        node.drain().thenAccept(drained::complete);
                    }
                });
        boolean drainedCompletely = drained.join();
        node.close();
        return drainedCompletely ? ExitCode.SUCCESS : ExitCode.DRAIN_CUT;
    }

    /**
     * Reads the settings file that the command line names.
     *
     * @param arguments The command line.
     * @param err Receives one line for each fault.
     * @return The settings, or empty if the command line or the file is invalid.
     */
    static Optional<Settings> readSettings(String[] arguments, PrintStream err) {
        Options options =
                new Options()
                        .addOption(Option.builder().longOpt(SETTINGS).hasArg().required().build());
        try {
            CommandLine line = new DefaultParser().parse(options, arguments);
            return Optional.of(
                    Settings.parse(Files.readString(Path.of(line.getOptionValue(SETTINGS)))));
        } catch (ParseException exception) {
            err.println("Cannot read command line: " + exception.getMessage());
            err.println("usage: chicorytrestled --settings FILE");
        } catch (IOException exception) {
            err.println("Cannot read settings file: " + exception.getMessage());
        } catch (SettingsException exception) {
            exception.faults().stream().map(SettingsFault::describe).forEach(err::println);
        }
        return Optional.empty();
    }
}
