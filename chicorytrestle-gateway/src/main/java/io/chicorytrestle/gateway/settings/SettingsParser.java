package io.chicorytrestle.gateway.settings;

import com.fasterxml.jackson.jr.ob.JSON;
import io.chicorytrestle.gateway.link.Addresses;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Reads and checks the settings file, and names every fault at once. */
public final class SettingsParser {

    /** The milliseconds of a second. */
    private static final long MILLIS_PER_SECOND = 1_000;

    /** The values by name. */
    private final Map<String, Object> values;

    /** What is wrong. */
    private final List<String> faults = new ArrayList<>();

    /**
     * Creates a new parser.
     *
     * @param values The values by name.
     */
    private SettingsParser(Map<String, Object> values) {
        this.values = values;
    }

    /**
     * Reads settings.
     *
     * @param text The text of the settings file, in the part of YAML that is JSON.
     * @return The settings.
     * @throws InvalidSettingsException If a setting is missing, malformed or out of range.
     */
    public static GatewaySettings parse(String text) throws InvalidSettingsException {
        Map<String, Object> values;
        try {
            values = JSON.std.mapFrom(text);
        } catch (IOException exception) {
            throw new InvalidSettingsException(
                    List.of("settings file is malformed: " + exception.getMessage()));
        }
        return new SettingsParser(values).readSettings();
    }

    /**
     * Reads all settings.
     *
     * @return The settings.
     * @throws InvalidSettingsException If a setting is missing, malformed or out of range.
     */
    private GatewaySettings readSettings() throws InvalidSettingsException {
        GatewaySettings settings =
                new GatewaySettings(
                        requiredString("instance_name"),
                        requiredString("availability_zone"),
                        requiredAddress("caller_address"),
                        requiredAddress("ready_address"),
                        requiredAddress("peer_address"),
                        optionalAddresses("seeds"),
                        requiredAddress("store_address"),
                        (long) (requiredNumber("store_history_s", 1) * MILLIS_PER_SECOND),
                        (long) (requiredNumber("grace_s", 0) * MILLIS_PER_SECOND),
                        (long) requiredNumber("drain_ms", 0),
                        requiredNumber("retry_ratio", 0),
                        requiredNumber("retry_slack", 0),
                        requiredNumber("load_multiple", 1));
        if (!faults.isEmpty()) {
            throw new InvalidSettingsException(faults);
        }
        return settings;
    }

    /**
     * Reads a text.
     *
     * @param name The name of the setting.
     * @return The text, or an empty one if there is a fault.
     */
    private String requiredString(String name) {
        if (values.get(name) instanceof String text && !text.isEmpty()) {
            return text;
        }
        faults.add(name + ": a text is required");
        return "";
    }

    /**
     * Reads an address.
     *
     * @param name The name of the setting.
     * @return The address, or an empty text if there is a fault.
     */
    private String requiredAddress(String name) {
        String address = requiredString(name);
        if (!address.isEmpty()) {
            checkAddress(name, address);
        }
        return address;
    }

    /**
     * Checks an address.
     *
     * @param name The name of the setting.
     * @param address The address.
     */
    private void checkAddress(String name, String address) {
        try {
            Addresses.parse(address);
        } catch (IllegalArgumentException exception) {
            faults.add(name + ": " + exception.getMessage());
        }
    }

    /**
     * Reads a list of addresses.
     *
     * @param name The name of the setting.
     * @return The addresses, none if the setting is absent.
     */
    private List<String> optionalAddresses(String name) {
        Object value = values.get(name);
        List<String> addresses = new ArrayList<>();
        if (value instanceof List<?> list) {
            for (Object element : list) {
                String address = String.valueOf(element);
                checkAddress(name, address);
                addresses.add(address);
            }
        } else if (value != null) {
            faults.add(name + ": a list is required");
        }
        return addresses;
    }

    /**
     * Reads a number.
     *
     * @param name The name of the setting.
     * @param minimum The smallest allowed value.
     * @return The number, or the smallest allowed value if there is a fault.
     */
    private double requiredNumber(String name, double minimum) {
        if (values.get(name) instanceof Number number) {
            if (number.doubleValue() >= minimum) {
                return number.doubleValue();
            }
            faults.add(name + ": must be at least " + minimum + " but is " + number);
        } else {
            faults.add(name + ": a number is required");
        }
        return minimum;
    }
}
