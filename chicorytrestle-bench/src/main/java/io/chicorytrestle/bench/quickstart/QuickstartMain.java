package io.chicorytrestle.bench.quickstart;

import java.io.IOException;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Prepares the files of a quickstart or drives the fleet that was started from them. */
public final class QuickstartMain {

    /** The exit code if every promise was kept. */
    private static final int EXIT_SUCCESS = 0;

    /** The exit code if a promise was broken. */
    private static final int EXIT_FAILURE = 1;

    /** The exit code of a malformed command line. */
    private static final int EXIT_USAGE = 2;

    /** Prevents instances. */
    private QuickstartMain() {}

    /**
     * Prepares or drives, and ends the process.
     *
     * @param arguments Either {@code prepare} or {@code drive}, and options.
     * @throws IOException If a file or a stand-in cannot be used.
     * @throws InterruptedException If the process is interrupted.
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        System.exit(run(arguments));
    }

    /**
     * Prepares or drives.
     *
     * @param arguments Either {@code prepare} or {@code drive}, and options.
     * @return The exit code.
     * @throws IOException If a file or a stand-in cannot be used.
     * @throws InterruptedException If the process is interrupted.
     */
    private static int run(String[] arguments) throws IOException, InterruptedException {
        try {
            CommandLine line = new DefaultParser().parse(commandLineOptions(), arguments);
            Path directory = Path.of(line.getOptionValue("directory"));
            String task = String.join(" ", line.getArgList());
            if (task.equals("prepare")) {
                new FleetPreparer(directory).writeFiles(Long.parseLong(line.getOptionValue("seed", "1")));
                return EXIT_SUCCESS;
            }
            if (task.equals("drive")) {
                boolean kept = new Quickstart(Plan.read(directory), System.out).run();
                return kept ? EXIT_SUCCESS : EXIT_FAILURE;
            }
            if (task.equals("describe")) {
                boolean ready = new Quickstart(Plan.read(directory), System.out).printInstructions();
                return ready ? EXIT_SUCCESS : EXIT_FAILURE;
            }
            throw new ParseException("no such task: " + task);
        } catch (ParseException | NumberFormatException exception) {
            System.err.println("Cannot read command line: " + exception.getMessage());
            System.err.println("usage: quickstart [--seed N] [--stay]");
            return EXIT_USAGE;
        }
    }

    /**
     * Returns the options of the command line.
     *
     * @return The options of the command line.
     */
    private static Options commandLineOptions() {
        return new Options()
                .addOption(Option.builder().longOpt("seed").hasArg().build())
                .addOption(Option.builder().longOpt("directory").hasArg().required().build());
    }
}
