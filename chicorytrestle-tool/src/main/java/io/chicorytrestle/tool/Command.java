package io.chicorytrestle.tool;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** A command of the tool. */
public interface Command {

    /**
     * Returns the words that call this command.
     *
     * @return One or two words, parted by a space.
     */
    String commandName();

    /**
     * Returns the arguments that follow the command's words.
     *
     * @return The arguments as shown in the help text; empty for none.
     */
    String arguments();

    /**
     * Returns what this command does.
     *
     * @return One line for the help text.
     */
    String summary();

    /**
     * Returns the options of this command, besides those that all commands take.
     *
     * @return The options of this command.
     */
    Options options();

    /**
     * Runs this command.
     *
     * @param line The parsed command line, whose arguments follow the command's words.
     * @return What the command found.
     * @throws CommandException If the command could not be carried out.
     */
    CommandResult run(CommandLine line) throws CommandException;
}
