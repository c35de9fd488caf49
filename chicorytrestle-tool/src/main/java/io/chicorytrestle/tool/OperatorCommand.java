package io.chicorytrestle.tool;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** A command that asks the operator ports of running entry instances. */
enum OperatorCommand implements Command {

    /** Shows readiness, table and membership of each entry instance. */
    STATUS("status", "shows readiness, table and membership of each entry instance") {
        @Override
        List<String> paths(CommandLine line) {
            return List.of("/ready", "/table", "/membership", "/load");
        }

        @Override
        ExitCode exitCode(JsonNode answers) {
            boolean ready = answers.path("/ready").path("ready").asBoolean();
            return ready ? ExitCode.SUCCESS : ExitCode.FAULTS_FOUND;
        }
    },

    /** Shows the audit trail of each entry instance. */
    AUDIT("audit", "shows the latest changes as each entry instance took note of them") {
        @Override
        List<String> paths(CommandLine line) {
            return List.of("/audit?after=" + encode(line.getOptionValue("after", "0")));
        }

        @Override
        Options commandOptions() {
            return new Options()
                    .addOption(option("after", "NUMBER", "shows only changes after this one"));
        }
    },

    /** Explains why a chat would go where. */
    EXPLAIN("explain", "explains to which engine a chat would go, and why") {
        @Override
        List<String> paths(CommandLine line) {
            StringBuilder query = new StringBuilder("/explain?");
            for (String name : QUERY_PARAMETERS) {
                if (line.hasOption(name)) {
                    query.append(name).append('=').append(encode(line.getOptionValue(name)));
                    query.append('&');
                }
            }
            return List.of(query.substring(0, query.length() - 1));
        }

        @Override
        Options commandOptions() {
            return new Options()
                    .addOption(required(option("workspace", "NAME", "the chat's workspace")))
                    .addOption(required(option("chat", "NAME", "the chat")))
                    .addOption(required(option("pool", "NAME", "the pool to choose from")))
                    .addOption(option("tokens", "NUMBER", "the prompt's length in tokens"))
                    .addOption(option("placement", "TOKEN", "the caller's placement token"));
        }
    };

    /** The options that are handed on as a query. */
    private static final List<String> QUERY_PARAMETERS =
            List.of("workspace", "chat", "pool", "tokens", "placement");

    /** The word that calls the command. */
    private final String commandName;

    /** What the command does. */
    private final String summary;

    /**
     * Creates a new command.
     *
     * @param word The word that calls the command.
     * @param summary What the command does.
     */
    OperatorCommand(String word, String summary) {
        this.commandName = word;
        this.summary = summary;
    }

    @Override
    public String commandName() {
        return commandName;
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return summary;
    }

    @Override
    public Options options() {
        Options options = commandOptions();
        options.addOption(
                required(
                        option(
                                "operators",
                                "HOST:PORT[,HOST:PORT...]",
                                "the operator ports to ask")));
        return options;
    }

    @Override
    public CommandResult run(CommandLine line) throws CommandException {
        ObjectNode document = JsonNodeFactory.instance.objectNode();
        List<String> lines = new ArrayList<>();
        ExitCode exitCode = ExitCode.SUCCESS;
        for (String address : addresses(line)) {
            ObjectNode answers = document.putObject(address);
            for (String path : paths(line)) {
                answers.set(path, new OperatorClient(address).get(path));
            }
            if (exitCode == ExitCode.SUCCESS) {
                exitCode = exitCode(answers);
            }
            lines.add(address);
            answers.fields()
                    .forEachRemaining(answer -> JsonTextRenderer.append(answer.getValue(), lines));
        }
        return new CommandResult(lines, document, exitCode);
    }

    /**
     * Returns the paths to ask each operator port.
     *
     * @param line The parsed command line.
     * @return The paths with their queries.
     */
    abstract List<String> paths(CommandLine line);

    /**
     * Returns the options that only this command takes.
     *
     * @return The options that only this command takes.
     */
    Options commandOptions() {
        return new Options();
    }

    /**
     * Returns the exit code that the answers of an entry instance mean.
     *
     * @param answers The answers by path.
     * @return The exit code.
     */
    ExitCode exitCode(JsonNode answers) {
        return ExitCode.SUCCESS;
    }

    /**
     * Returns the operator ports to ask.
     *
     * @param line The parsed command line.
     * @return The addresses as host and port.
     */
    private static List<String> addresses(CommandLine line) {
        return Arrays.stream(line.getOptionValue("operators").split(",", -1))
                .map(String::trim)
                .toList();
    }

    /**
     * Encodes a value for a query.
     *
     * @param value The value.
     * @return The encoded value.
     */
    private static String encode(String value) {
        return URLEncoder.encode(value, StandardCharsets.UTF_8);
    }

    /**
     * Creates an option with a value.
     *
     * @param name The option's name.
     * @param value The value's name in the help text.
     * @param description What the option does.
     * @return A new option.
     */
    private static Option option(String name, String value, String description) {
        return Option.builder().longOpt(name).hasArg().argName(value).desc(description).build();
    }

    /**
     * Makes an option required.
     *
     * @param option The option.
     * @return The given option.
     */
    private static Option required(Option option) {
        option.setRequired(true);
        return option;
    }
}
