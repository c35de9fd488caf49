package io.chicorytrestle.bench.quickstart;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * Describes a prepared fleet; written by {@link FleetPreparer} and read by the driver.
 *
 * @param seed The seed of all random choices.
 * @param control The URL of the stand-ins' control server.
 * @param daemons The entry instances.
 * @param workspaces The workspaces of the callers.
 */
public record Plan(long seed, String control, List<Daemon> daemons, List<Workspace> workspaces) {

    /** The name of the plan's file. */
    private static final String FILE = "plan.json";

    /** Creates a new plan. */
    public Plan {
        daemons = List.copyOf(daemons);
        workspaces = List.copyOf(workspaces);
    }

    /**
     * Reads a plan.
     *
     * @param directory The directory that contains the plan.
     * @return The plan.
     * @throws IOException If the plan cannot be read.
     */
    static Plan read(Path directory) throws IOException {
        return new ObjectMapper().readValue(directory.resolve(FILE).toFile(), Plan.class);
    }

    /**
     * Writes this plan.
     *
     * @param directory The directory to write to.
     * @throws IOException If the plan cannot be written.
     */
    void write(Path directory) throws IOException {
        new ObjectMapper().writeValue(directory.resolve(FILE).toFile(), this);
    }

    /**
     * Describes an entry instance.
     *
     * @param name The name.
     * @param zone The availability zone.
     * @param callers The URL for callers.
     * @param operators The URL for operators.
     */
    public record Daemon(String name, String zone, String callers, String operators) {}

    /**
     * Describes a workspace.
     *
     * @param name The name.
     * @param secret The secret with which callers authenticate.
     */
    public record Workspace(String name, String secret) {}
}
