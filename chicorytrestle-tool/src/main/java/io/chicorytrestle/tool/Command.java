package io.chicorytrestle.tool;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** A command of the command-line tool. */
public interface Command {

    /**
     * Returns the name of this command on the command line.
     *
     * @return One or two words, separated by a space.
     */
    String commandName();

    /**
     * Returns the arguments that follow the command's name.
     *
     * @return The placeholders for the help text; empty if there are no arguments.
     */
    String arguments();

    /**
     * Returns the description of this command.
     *
     * @return One line for the help text.
     */
    String summary();

    /**
     * Returns the options of this command, without those that all commands accept.
     *
     * @return A new object for each call, which the caller may extend.
     */
    Options options();

    /**
     * Runs this command.
     *
     * @param line The parsed command line, whose arguments follow the command's name.
     * @return The result to print.
     * @throws CommandException If the command can't be carried out.
     */
    CommandResult run(CommandLine line) throws CommandException;
}
