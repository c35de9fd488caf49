package io.chicorytrestle.tool;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Runs the operators' command-line tool. */
public final class ToolMain {

    /** The commands of the tool. */
    private static final List<Command> COMMANDS = listCommands();

    /** Prevents instances. */
    private ToolMain() {}

    /**
     * Runs the command that the arguments name and ends the process.
     *
     * @param arguments The command's words, its arguments and its options.
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments, System.out, System.err).number());
    }

    /**
     * Runs the command that the arguments name.
     *
     * @param arguments The command's words, its arguments and its options.
     * @param out Receives what the command found.
     * @param err Receives complaints.
     * @return The exit code.
     */
    static ExitCode run(String[] arguments, PrintStream out, PrintStream err) {
        List<String> words = Arrays.asList(arguments);
        if (words.isEmpty() || words.contains("--help")) {
            HelpText.print(COMMANDS, words.isEmpty() ? err : out);
            return words.isEmpty() ? ExitCode.USAGE : ExitCode.SUCCESS;
        }
        Optional<Command> command = findCommand(words);
        if (command.isEmpty()) {
            err.println("Cannot find command: " + String.join(" ", words));
            HelpText.print(COMMANDS, err);
            return ExitCode.USAGE;
        }
        try {
            return run(command.get(), words, out);
        } catch (CommandException exception) {
            err.println(exception.getMessage());
            return exception.exitCode();
        }
    }

    /**
     * Runs a command.
     *
     * @param command The command.
     * @param words The whole command line.
     * @param out Receives what the command found.
     * @return The exit code.
     * @throws CommandException If the command could not be carried out.
     */
    private static ExitCode run(Command command, List<String> words, PrintStream out)
            throws CommandException {
        Options options = command.options();
        options.addOption(Option.builder().longOpt("format").hasArg().get());
        int skipped = command.commandName().split(" ", -1).length;
        CommandLine line;
        try {
            line =
                    new DefaultParser()
                            .parse(
                                    options,
                                    words.subList(skipped, words.size()).toArray(String[]::new));
        } catch (ParseException exception) {
            throw new CommandException(
                    ExitCode.USAGE,
                    "Cannot read options of " + command.commandName() + ": " + exception.getMessage());
        }
        OutputFormat format = outputFormat(line);
        CommandResult finding = command.run(line);
        out.println(format.render(finding));
        return finding.exitCode();
    }

    /**
     * Returns the output format that a command line names.
     *
     * @param line The parsed command line.
     * @return The format.
     * @throws CommandException If there is no such format.
     */
    private static OutputFormat outputFormat(CommandLine line) throws CommandException {
        String name = line.getOptionValue("format", "text");
        return OutputFormat.of(name)
                .orElseThrow(
                        () ->
                                new CommandException(
                                        ExitCode.USAGE,
                                        "Cannot use --format, allowed are text and json: " + name));
    }

    /**
     * Finds the command that a command line begins with.
     *
     * @param words The whole command line.
     * @return The command, or empty if there is none.
     */
    private static Optional<Command> findCommand(List<String> words) {
        String line = String.join(" ", words) + " ";
        return COMMANDS.stream()
                .filter(command -> line.startsWith(command.commandName() + " "))
                .findFirst();
    }

    /**
     * Returns all commands in the order of the help text.
     *
     * @return All commands.
     */
    private static List<Command> listCommands() {
        List<Command> commands = new ArrayList<>();
        commands.addAll(Arrays.asList(FileCommand.values()));
        commands.addAll(Arrays.asList(TraceCommand.values()));
        commands.addAll(Arrays.asList(OperatorCommand.values()));
        return List.copyOf(commands);
    }
}
