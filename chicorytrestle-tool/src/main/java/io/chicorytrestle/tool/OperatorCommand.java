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

/** Enumerates the commands that query the operator ports of running entry instances. */
enum OperatorCommand implements Command {

    /** Shows readiness, table, membership and load of each entry instance. */
    STATUS("status", "shows readiness, table and membership of each entry instance") {
        @Override
        List<String> paths(CommandLine line) {
            return List.of("/ready", "/table", "/membership", "/load");
        }

        @Override
        ExitCode exitCode(JsonNode responses) {
            boolean ready = responses.path("/ready").path("ready").asBoolean();
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

    /** Explains the choice of an engine for a chat. */
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

    /** The names of the options that are passed on as query parameters of the same name. */
    private static final List<String> QUERY_PARAMETERS =
            List.of("workspace", "chat", "pool", "tokens", "placement");

    /** The name of the command on the command line. */
    private final String commandName;

    /** The description for the help text. */
    private final String summary;

    /**
     * Creates a new command.
     *
     * @param commandName The name of the command on the command line.
     * @param summary The description for the help text.
     */
    OperatorCommand(String commandName, String summary) {
        this.commandName = commandName;
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
            ObjectNode responses = document.putObject(address);
            for (String path : paths(line)) {
                responses.set(path, new OperatorClient(address).get(path));
            }
            if (exitCode == ExitCode.SUCCESS) {
                exitCode = exitCode(responses);
            }
            lines.add(address);
            responses
                    .fields()
                    .forEachRemaining(
                            response -> JsonTextRenderer.append(response.getValue(), lines));
        }
        return new CommandResult(lines, document, exitCode);
    }

    /**
     * Returns the paths to request from each operator port.
     *
     * @param line The parsed command line.
     * @return The paths with their query strings.
     */
    abstract List<String> paths(CommandLine line);

    /**
     * Returns the options that only this command accepts.
     *
     * @return The options besides {@code --operators}; a new object for each call.
     */
    Options commandOptions() {
        return new Options();
    }

    /**
     * Derives the exit code from the responses of an entry instance.
     *
     * @param responses The JSON documents by path.
     * @return The exit code for this instance; the first failure becomes that of the command.
     */
    ExitCode exitCode(JsonNode responses) {
        return ExitCode.SUCCESS;
    }

    /**
     * Returns the operator ports to query.
     *
     * @param line The parsed command line.
     * @return The addresses in the form {@code host:port}.
     */
    private static List<String> addresses(CommandLine line) {
        return Arrays.stream(line.getOptionValue("operators").split(",", -1))
                .map(String::trim)
                .toList();
    }

    /**
     * Encodes a value for a query string.
     *
     * @param value The value.
     * @return The percent-encoded value.
     */
    private static String encode(String value) {
        return URLEncoder.encode(value, StandardCharsets.UTF_8);
    }

    /**
     * Creates an optional option that takes a value.
     *
     * @param name The long name of the option.
     * @param value The placeholder of the value in the help text.
     * @param description The description for the help text.
     * @return A new option.
     */
    private static Option option(String name, String value, String description) {
        return Option.builder().longOpt(name).hasArg().argName(value).desc(description).build();
    }

    /**
     * Makes an option required.
     *
     * @param option The option, which is changed.
     * @return The same option.
     */
    private static Option required(Option option) {
        option.setRequired(true);
        return option;
    }
}
