package io.chicorytrestle.tool;

import java.io.PrintStream;
import java.util.List;
import org.apache.commons.cli.Option;

/** Prints the tool's help text. */
final class HelpText {

    /** Prevents instantiation. */
    private HelpText() {}

    /**
     * Prints the commands with their options, and the exit codes.
     *
     * @param commands The commands to list.
     * @param out The stream to print to.
     */
    static void print(List<Command> commands, PrintStream out) {
        out.println("usage: chicorytrestle COMMAND [ARGUMENTS] [--format text|json] [--help]");
        out.println();
        out.println("commands:");
        for (Command command : commands) {
            out.printf(
                    "  %-24s %s%n",
                    (command.commandName() + " " + command.arguments()).trim(), command.summary());
            for (Option option : command.options().getOptions()) {
                out.printf(
                        "      --%s %s%s%n          %s%n",
                        option.getLongOpt(),
                        option.getArgName(),
                        option.isRequired() ? " (required)" : "",
                        option.getDescription());
            }
        }
        out.println();
        out.println("exit codes:");
        for (ExitCode exitCode : ExitCode.values()) {
            out.printf("  %d  %s%n", exitCode.number(), exitCode.meaning());
        }
    }
}
