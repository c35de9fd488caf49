package io.chicorytrestle.gateway.settings;

import io.chicorytrestle.core.placement.ColdStartBound;
import io.chicorytrestle.gateway.document.JsonFields;
import io.chicorytrestle.gateway.document.MalformedDocumentException;
import io.chicorytrestle.gateway.link.Addresses;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Parses and validates the settings, and reports all faults together. */
public final class SettingsParser {

    /** Milliseconds per second. */
    private static final long MILLIS_PER_SECOND = 1_000;

    /** Bytes per megabyte. */
    private static final long BYTES_PER_MEGABYTE = 1_048_576;

    /** The smallest number of descriptors with which callers are served. */
    private static final int MINIMUM_DESCRIPTORS = 128;

    /** The parsed values by setting name. */
    private final Map<String, Object> values;

    /** The faults found so far, each with the name of its setting. */
    private final List<String> faults = new ArrayList<>();

    /**
     * Creates a new parser.
     *
     * @param values The parsed values by setting name.
     */
    private SettingsParser(Map<String, Object> values) {
        this.values = values;
    }

    /**
     * Parses and validates settings. Unknown settings are ignored.
     *
     * @param text The content of the settings file, in the JSON subset of YAML.
     * @return The settings.
     * @throws InvalidSettingsException If a setting is missing, malformed or out of range.
     */
    public static GatewaySettings parse(String text) throws InvalidSettingsException {
        try {
            return new SettingsParser(JsonFields.parseValues(text)).readSettings();
        } catch (MalformedDocumentException exception) {
            Throwable cause = exception.getCause() == null ? exception : exception.getCause();
            throw new InvalidSettingsException(
                    List.of("settings file is malformed: " + cause.getMessage()));
        }
    }

    /**
     * Reads and validates all settings.
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
                        requiredNumber("load_multiple", 1),
                        optionalColdStartBound(),
                        optionalTexts("zone_regions"),
                        machineLimits());
        if (!faults.isEmpty()) {
            throw new InvalidSettingsException(faults);
        }
        return settings;
    }

    /**
     * Reads what the machine allows.
     *
     * @return The limits, the default ones where the settings name none.
     */
    private MachineLimits machineLimits() {
        MachineLimits defaults = MachineLimits.DEFAULT;
        double megabytes =
                optionalNumber(
                        "machine_memory_mb",
                        1,
                        (double) defaults.memoryBytes() / BYTES_PER_MEGABYTE);
        return new MachineLimits(
                (long) (megabytes * BYTES_PER_MEGABYTE),
                (int)
                        optionalNumber(
                                "machine_descriptors", MINIMUM_DESCRIPTORS, defaults.descriptors()),
                (long)
                        optionalNumber(
                                "unread_timeout_ms", 1, (double) defaults.unreadTimeoutMillis()));
    }

    /**
     * Reads an optional number.
     *
     * @param name The name of the setting.
     * @param minimum The smallest allowed value.
     * @param defaultValue The value if the setting is absent.
     * @return The number, or the default value if it is absent, too small or of another type.
     */
    private double optionalNumber(String name, double minimum, double defaultValue) {
        if (values.get(name) == null) {
            return defaultValue;
        }
        return Math.max(minimum, requiredNumber(name, minimum));
    }

    /**
     * Reads a required string.
     *
     * @param name The name of the setting.
     * @return The string, or an empty one if it is missing, empty or of another type.
     */
    private String requiredString(String name) {
        if (values.get(name) instanceof String text && !text.isEmpty()) {
            return text;
        }
        faults.add(name + ": a non-empty text is required");
        return "";
    }

    /**
     * Reads a required address.
     *
     * @param name The name of the setting.
     * @return The address, or an empty string if it is missing.
     */
    private String requiredAddress(String name) {
        String address = requiredString(name);
        if (!address.isEmpty()) {
            checkAddress(name, address);
        }
        return address;
    }

    /**
     * Records a fault if an address is malformed.
     *
     * @param name The name of the setting.
     * @param address The address to parse.
     */
    private void checkAddress(String name, String address) {
        try {
            Addresses.parse(address);
        } catch (IllegalArgumentException exception) {
            faults.add(name + ": " + exception.getMessage());
        }
    }

    /**
     * Reads an optional list of addresses.
     *
     * @param name The name of the setting.
     * @return The addresses, none if the setting is absent or not a list.
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
     * Reads the bound on requests to cold endpoints, whose two settings are present together.
     *
     * @return The bound, or empty if neither setting is present.
     */
    private Optional<ColdStartBound> optionalColdStartBound() {
        if (values.get("cold_start_overage") == null && values.get("cold_start_slack") == null) {
            return Optional.empty();
        }
        return Optional.of(
                new ColdStartBound(
                        requiredNumber("cold_start_overage", 0),
                        requiredNumber("cold_start_slack", 0)));
    }

    /**
     * Reads an optional object whose values are texts.
     *
     * @param name The name of the setting.
     * @return The texts by their names, none if the setting is absent or not such an object.
     */
    private Map<String, String> optionalTexts(String name) {
        Object value = values.get(name);
        Map<String, String> texts = new HashMap<>();
        if (value instanceof Map<?, ?> object) {
            object.forEach((key, text) -> texts.put(String.valueOf(key), String.valueOf(text)));
        } else if (value != null) {
            faults.add(name + ": an object is required");
        }
        return texts;
    }

    /**
     * Reads a required number.
     *
     * @param name The name of the setting.
     * @param minimum The smallest allowed value.
     * @return The number, or the smallest allowed value if it is missing, too small or of another
     *     type.
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
