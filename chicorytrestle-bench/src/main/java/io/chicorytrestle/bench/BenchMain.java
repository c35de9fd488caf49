package io.chicorytrestle.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.chicorytrestle.bench.capacity.CapacitySlopesExperiment;
import io.chicorytrestle.bench.control.ControlTrafficExperiment;
import io.chicorytrestle.bench.control.DrainExperiment;
import io.chicorytrestle.bench.control.TablePropagationExperiment;
import io.chicorytrestle.bench.history.HistoryExperiment;
import io.chicorytrestle.bench.overhead.OverheadExperiment;
import io.chicorytrestle.bench.poison.PoisonExperiment;
import io.chicorytrestle.bench.routing.ReuseChurnExperiment;
import io.chicorytrestle.bench.routing.SkewExperiment;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Runs an experiment by name from the command line. */
public final class BenchMain {

    /** All experiments, in the order of the usage text. */
    private static final List<Experiment> EXPERIMENTS =
            List.of(
                    new CapacitySlopesExperiment(),
                    new ReuseChurnExperiment(),
                    new SkewExperiment(),
                    new HistoryExperiment(),
                    new ControlTrafficExperiment(),
                    new DrainExperiment(),
                    new OverheadExperiment(),
                    new PoisonExperiment(),
                    new TablePropagationExperiment());

    /** Prevents instantiation. */
    private BenchMain() {}

    /**
     * Returns all experiments.
     *
     * @return The experiments in the order of the usage text.
     */
    static List<Experiment> experiments() {
        return EXPERIMENTS;
    }

    /**
     * Runs the experiment named by the arguments and exits with its exit code.
     *
     * @param arguments The experiment's name and its options.
     * @throws Exception If the experiment could not be run.
     */
    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments, System.out, System.err).code());
    }

    /**
     * Runs the experiment named by the arguments.
     *
     * @param arguments The experiment's name and its options.
     * @param out Receives the figures.
     * @param err Receives errors in the command line and the usage text.
     * @return The exit code.
     * @throws Exception If the experiment could not be run.
     */
    static ExitCode run(String[] arguments, PrintStream out, PrintStream err) throws Exception {
        CommandLine commandLine;
        ExperimentOptions options;
        try {
            commandLine = new DefaultParser().parse(commandLineOptions(), arguments);
            options = parseExperimentOptions(commandLine);
        } catch (ParseException | IllegalArgumentException exception) {
            err.println("Cannot read command line: " + exception.getMessage());
            return printUsage(err);
        }
        String name = commandLine.getArgList().isEmpty() ? "" : commandLine.getArgList().get(0);
        Optional<Experiment> experiment =
                EXPERIMENTS.stream().filter(known -> known.name().equals(name)).findFirst();
        if (experiment.isEmpty()) {
            err.println("Cannot find experiment: " + name);
            return printUsage(err);
        }
        Experiment.Report report = experiment.get().run(options);
        printFigures(report.figures(), commandLine.getOptionValue("format", "text"), out);
        return report.aimsMet() ? ExitCode.SUCCESS : ExitCode.AIM_MISSED;
    }

    /**
     * Returns the options that the command line accepts.
     *
     * @return The options.
     */
    private static Options commandLineOptions() {
        return new Options()
                .addOption(Option.builder().longOpt("seed").hasArg().build())
                .addOption(Option.builder().longOpt("runs").hasArg().build())
                .addOption(Option.builder().longOpt("scale").hasArg().build())
                .addOption(Option.builder().longOpt("plot").hasArg().build())
                .addOption(Option.builder().longOpt("format").hasArg().build());
    }

    /**
     * Converts the command line to the options of an experiment.
     *
     * @param commandLine The parsed command line.
     * @return The options, with defaults for those not given.
     */
    private static ExperimentOptions parseExperimentOptions(CommandLine commandLine) {
        return new ExperimentOptions(
                Long.parseLong(commandLine.getOptionValue("seed", "1")),
                Integer.parseInt(commandLine.getOptionValue("runs", "0")),
                ExperimentOptions.Scale.valueOf(
                        commandLine.getOptionValue("scale", "today").toUpperCase(Locale.ROOT)),
                Optional.ofNullable(commandLine.getOptionValue("plot")).map(Path::of));
    }

    /**
     * Prints the figures as JSON.
     *
     * @param figures The figures to print.
     * @param format Either {@code json} for one line or {@code text} for indented lines.
     * @param out Receives the figures.
     * @throws Exception If the figures cannot be written.
     */
    private static void printFigures(ObjectNode figures, String format, PrintStream out)
            throws Exception {
        ObjectMapper mapper = new ObjectMapper();
        if (format.equals("text")) {
            mapper.enable(SerializationFeature.INDENT_OUTPUT);
        }
        out.println(mapper.writeValueAsString(figures));
    }

    /**
     * Prints the usage text.
     *
     * @param err Receives the usage text.
     * @return The exit code for a malformed command line.
     */
    private static ExitCode printUsage(PrintStream err) {
        err.println(
                "usage: chicorytrestle-bench EXPERIMENT [--seed N] [--runs N]"
                        + " [--scale today|target] [--plot FILE] [--format text|json]");
        EXPERIMENTS.forEach(known -> err.printf("  %-16s %s%n", known.name(), known.summary()));
        return ExitCode.USAGE;
    }
}
