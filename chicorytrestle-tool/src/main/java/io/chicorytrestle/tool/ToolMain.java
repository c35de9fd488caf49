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

/** The entry point of the operators' command-line tool. */
public final class ToolMain {

    /** The commands in the order of the help text. */
    private static final List<Command> COMMANDS = listCommands();

    /** Prevents instantiation. */
    private ToolMain() {}

    /**
     * Runs the command that the arguments name and exits the process.
     *
     * @param arguments The command's name, its arguments and its options.
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments, System.out, System.err).number());
    }

    /**
     * Runs the command that the arguments name, or prints the help text.
     *
     * @param arguments The command's name, its arguments and its options.
     * @param out The stream for results.
     * @param err The stream for error messages.
     * @return The exit code of the process.
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
     * Parses the options of a command, runs it and prints the result.
     *
     * @param command The command.
     * @param words The words of the command line.
     * @param out The stream for the result.
     * @return The exit code of the process.
     * @throws CommandException If the options are invalid or the command can't be carried out.
     */
    private static ExitCode run(Command command, List<String> words, PrintStream out)
            throws CommandException {
        Options options = command.options();
        options.addOption(Option.builder().longOpt("format").hasArg().get());
        int nameWords = command.commandName().split(" ", -1).length;
        CommandLine line;
        try {
            line =
                    new DefaultParser()
                            .parse(
                                    options,
                                    words.subList(nameWords, words.size()).toArray(String[]::new));
        } catch (ParseException exception) {
            throw new CommandException(
                    ExitCode.USAGE,
                    "Cannot parse options of "
                            + command.commandName()
                            + ": "
                            + exception.getMessage());
        }
        OutputFormat format = outputFormat(line);
        CommandResult result = command.run(line);
        out.println(format.render(result));
        return result.exitCode();
    }

    /**
     * Returns the output format selected by a command line.
     *
     * @param line The parsed command line.
     * @return The selected format, or text by default.
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
     * Finds the command whose name a command line begins with.
     *
     * @param words The words of the command line.
     * @return The command, or empty if there is none.
     */
    private static Optional<Command> findCommand(List<String> words) {
        String line = String.join(" ", words) + " ";
        return COMMANDS.stream()
                .filter(command -> line.startsWith(command.commandName() + " "))
                .findFirst();
    }

    /**
     * Lists all commands in the order of the help text.
     *
     * @return An unmodifiable list.
     */
    private static List<Command> listCommands() {
        List<Command> commands = new ArrayList<>();
        commands.addAll(Arrays.asList(FileCommand.values()));
        commands.addAll(Arrays.asList(TraceCommand.values()));
        commands.addAll(Arrays.asList(OperatorCommand.values()));
        return List.copyOf(commands);
    }
}
