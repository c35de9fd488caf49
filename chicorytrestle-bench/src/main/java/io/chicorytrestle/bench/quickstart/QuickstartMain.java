package io.chicorytrestle.bench.quickstart;

import java.io.IOException;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Writes the files of a quickstart, or drives or describes the fleet that was started from them.
 */
public final class QuickstartMain {

    /** The exit code if every promise was kept, or the files were written. */
    private static final int EXIT_SUCCESS = 0;

    /** The exit code if a promise was broken, or an entry instance was not ready in time. */
    private static final int EXIT_FAILURE = 1;

    /** The exit code of a malformed command line. */
    private static final int EXIT_USAGE = 2;

    /** Prevents instantiation. */
    private QuickstartMain() {}

    /**
     * Runs a task and exits with its exit code.
     *
     * @param arguments One of {@code prepare}, {@code drive} and {@code describe}, and options.
     * @throws IOException If a file cannot be read or written, or the stand-ins refuse a command.
     * @throws InterruptedException If the process is interrupted.
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        System.exit(run(arguments));
    }

    /**
     * Runs a task.
     *
     * @param arguments One of {@code prepare}, {@code drive} and {@code describe}, and options.
     * @return The exit code.
     * @throws IOException If a file cannot be read or written, or the stand-ins refuse a command.
     * @throws InterruptedException If the process is interrupted.
     */
    private static int run(String[] arguments) throws IOException, InterruptedException {
        try {
            CommandLine commandLine = new DefaultParser().parse(commandLineOptions(), arguments);
            Path directory = Path.of(commandLine.getOptionValue("directory"));
            String task = String.join(" ", commandLine.getArgList());
            if (task.equals("prepare")) {
                new FleetPreparer(directory)
                        .writeFiles(Long.parseLong(commandLine.getOptionValue("seed", "1")));
                return EXIT_SUCCESS;
            }
            if (task.equals("drive")) {
                boolean allKept = new Quickstart(Plan.read(directory), System.out).run();
                return allKept ? EXIT_SUCCESS : EXIT_FAILURE;
            }
            if (task.equals("describe")) {
                boolean ready =
                        new Quickstart(Plan.read(directory), System.out).printInstructions();
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
     * Returns the options that the command line accepts.
     *
     * @return The options.
     */
    private static Options commandLineOptions() {
        return new Options()
                .addOption(Option.builder().longOpt("seed").hasArg().build())
                .addOption(Option.builder().longOpt("directory").hasArg().required().build());
    }
}
