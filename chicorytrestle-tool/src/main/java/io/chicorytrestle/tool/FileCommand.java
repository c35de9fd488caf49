package io.chicorytrestle.tool;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.chicorytrestle.core.table.TableDifference;
import io.chicorytrestle.core.table.TableParseResult;
import io.chicorytrestle.core.table.TableParser;
import io.chicorytrestle.daemon.settings.Settings;
import io.chicorytrestle.daemon.settings.SettingsFault;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Enumerates the commands that only read files and send no request. */
enum FileCommand implements Command {

    /** Checks a table and reports the faults of all rows. */
    TABLE_CHECK("table check", "FILE", "checks a table of weights and limits, all rows at once") {
        @Override
        CommandResult run(List<String> files) throws CommandException {
            TableParseResult parsed = TableParser.INSTANCE.parse(read(files.get(0)));
            if (parsed instanceof TableParseResult.Refused refused) {
                return refusedResult(refused);
            }
            TableParseResult.Accepted accepted = (TableParseResult.Accepted) parsed;
            ObjectNode document = JsonNodeFactory.instance.objectNode();
            document.put("accepted", true);
            document.put("version", accepted.table().version());
            document.put("digest", accepted.digest());
            document.put("workspaces", accepted.table().workspaces().size());
            document.put("pools", accepted.table().pools().size());
            String line =
                    "accepted: version %d, digest %s, %d workspaces, %d pools"
                            .formatted(
                                    accepted.table().version(),
                                    accepted.digest(),
                                    accepted.table().workspaces().size(),
                                    accepted.table().pools().size());
            return new CommandResult(List.of(line), document, ExitCode.SUCCESS);
        }
    },

    /** Shows the cells that differ between two tables. */
    TABLE_DIFFERENCE("table diff", "OLD NEW", "shows the cells that differ between two tables") {
        @Override
        CommandResult run(List<String> files) throws CommandException {
            List<TableParseResult.Accepted> tables = new ArrayList<>();
            for (String file : files) {
                TableParseResult parsed = TableParser.INSTANCE.parse(read(file));
                if (parsed instanceof TableParseResult.Refused refused) {
                    return refusedResult(refused);
                }
                tables.add((TableParseResult.Accepted) parsed);
            }
            return differenceResult(tables.get(0), tables.get(1));
        }
    },

    /** Checks the settings of a daemon and reports the faults of all keys. */
    SETTINGS_CHECK("settings check", "FILE", "checks the settings of a daemon, all keys at once") {
        @Override
        CommandResult run(List<String> files) throws CommandException {
            String text = new String(read(files.get(0)), StandardCharsets.UTF_8);
            List<SettingsFault> faults = Settings.validate(text);
            ObjectNode document = JsonNodeFactory.instance.objectNode();
            document.put("accepted", faults.isEmpty());
            for (SettingsFault fault : faults) {
                document.withArray("faults")
                        .addObject()
                        .put("path", fault.path())
                        .put("value", fault.value())
                        .put("allowed", fault.allowed());
            }
            return faults.isEmpty()
                    ? new CommandResult(List.of("accepted"), document, ExitCode.SUCCESS)
                    : new CommandResult(
                            faults.stream().map(SettingsFault::describe).toList(),
                            document,
                            ExitCode.FAULTS_FOUND);
        }
    };

    /** The name of the command on the command line, of one or two words. */
    private final String commandName;

    /** The placeholders of the files in the help text, one word for each file. */
    private final String fileArguments;

    /** The description for the help text. */
    private final String summary;

    /**
     * Creates a new command.
     *
     * @param commandName The name of the command on the command line.
     * @param fileArguments The placeholders of the files in the help text, one word for each file.
     * @param summary The description for the help text.
     */
    FileCommand(String commandName, String fileArguments, String summary) {
        this.commandName = commandName;
        this.fileArguments = fileArguments;
        this.summary = summary;
    }

    @Override
    public String commandName() {
        return commandName;
    }

    @Override
    public String arguments() {
        return fileArguments;
    }

    @Override
    public String summary() {
        return summary;
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public CommandResult run(CommandLine line) throws CommandException {
        int expectedCount = fileArguments.split(" ", -1).length;
        if (line.getArgList().size() != expectedCount) {
            throw new CommandException(
                    ExitCode.USAGE,
                    "Cannot run %s, expected arguments %s but got: %s"
                            .formatted(commandName, fileArguments, line.getArgList()));
        }
        return run(line.getArgList());
    }

    /**
     * Runs this command on files.
     *
     * @param files The paths of the files, one for each placeholder.
     * @return The result of the command.
     * @throws CommandException If a file can't be read.
     */
    abstract CommandResult run(List<String> files) throws CommandException;

    /**
     * Reads a file.
     *
     * @param file The path of the file.
     * @return The content of the file.
     * @throws CommandException If the file can't be read.
     */
    private static byte[] read(String file) throws CommandException {
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (IOException exception) {
            throw new CommandException(ExitCode.USAGE, "Cannot read file: " + exception);
        }
    }

    /**
     * Builds the result for a refused table.
     *
     * @param refused The refusal with its faults.
     * @return The result, with one line for each fault.
     */
    private static CommandResult refusedResult(TableParseResult.Refused refused) {
        ObjectNode document = JsonNodeFactory.instance.objectNode();
        document.put("accepted", false);
        List<String> lines = new ArrayList<>();
        refused.faults()
                .forEach(
                        fault -> {
                            lines.add(fault.message());
                            document.withArray("faults")
                                    .addObject()
                                    .put("row", fault.row())
                                    .put("column", fault.column())
                                    .put("value", fault.value())
                                    .put("reason", fault.reason());
                        });
        return new CommandResult(lines, document, ExitCode.FAULTS_FOUND);
    }

    /**
     * Builds the result of comparing two tables.
     *
     * @param older The older table.
     * @param newer The newer table.
     * @return The result; it is a fault if cells differ but the newer table's version isn't larger.
     */
    private static CommandResult differenceResult(
            TableParseResult.Accepted older, TableParseResult.Accepted newer) {
        TableDifference difference = TableDifference.between(older.table(), newer.table());
        ObjectNode document = JsonNodeFactory.instance.objectNode();
        document.put("oldVersion", older.table().version());
        document.put("newVersion", newer.table().version());
        document.withArray("cells");
        List<String> lines = new ArrayList<>();
        lines.add("version %d -> %d".formatted(older.table().version(), newer.table().version()));
        for (TableDifference.CellChange change : difference.cells()) {
            lines.add(change.text());
            document.withArray("cells")
                    .addObject()
                    .put("row", change.row())
                    .put("column", change.column().key())
                    .put("old", change.before())
                    .put("new", change.after());
        }
        boolean supersedes =
                difference.cells().isEmpty() || newer.table().version() > older.table().version();
        if (!supersedes) {
            lines.add("Cannot supersede: the new table's version is not larger than the old one's");
        }
        document.put("supersedes", supersedes);
        return new CommandResult(
                lines, document, supersedes ? ExitCode.SUCCESS : ExitCode.FAULTS_FOUND);
    }
}
