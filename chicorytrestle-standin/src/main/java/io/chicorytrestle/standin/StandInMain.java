package io.chicorytrestle.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.chicorytrestle.standin.http.Scenario;
import io.chicorytrestle.standin.http.StandInFleet;
import java.io.IOException;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Starts the stand-ins that a scenario file describes and serves until the process is stopped. */
public final class StandInMain {

    /** The exit code if the command line or scenario is invalid, or a port cannot be bound. */
    private static final int EXIT_USAGE = 2;

    /** Prevents instantiation. */
    private StandInMain() {}

    /**
     * Starts the stand-ins and prints their base URLs to standard output as one line of JSON.
     *
     * @param arguments The command line.
     * @throws InterruptedException If the process is interrupted.
     */
    public static void main(String[] arguments) throws InterruptedException {
        try {
            CommandLine commandLine = new DefaultParser().parse(options(), arguments);
            Scenario scenario = Scenario.read(Path.of(commandLine.getOptionValue("scenario")));
            StandInFleet fleet = StandInFleet.start(scenario);
            System.out.println(new ObjectMapper().writeValueAsString(fleet.addresses()));
            Thread.currentThread().join();
        } catch (ParseException | IOException exception) {
            System.err.println("Cannot start stand-ins: " + exception.getMessage());
            System.err.println("usage: chicorytrestle-standin --scenario FILE");
            System.exit(EXIT_USAGE);
        }
    }

    /**
     * Defines the command-line options.
     *
     * @return The options, of which {@code --scenario} is required.
     */
    private static Options options() {
        return new Options()
                .addOption(Option.builder().longOpt("scenario").hasArg().required().build());
    }
}
