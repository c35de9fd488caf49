package io.chicorytrestle.daemon;

import com.google.common.hash.Hashing;
import io.chicorytrestle.core.routing.PlacementKeys;
import io.chicorytrestle.core.routing.RoutingSettings;
import io.chicorytrestle.core.ticket.HmacTicketCodec;
import io.chicorytrestle.core.ticket.TicketCodec;
import io.chicorytrestle.daemon.settings.Settings;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Derives what signs tickets and placement tokens from the secrets of the settings. */
final class DerivedKeys {

    /** Selects the byte of a hash that identifies a key. */
    private static final int BYTE_MASK = 0xff;

    /** Prevents instances. */
    private DerivedKeys() {}

    /**
     * Returns the codec of tickets.
     *
     * @param settings The settings.
     * @return The codec, which signs with the first key and accepts all.
     */
    static TicketCodec ticketCodec(Settings.Tickets settings) {
        return new RotatingTicketCodec(
                settings.keys().stream()
                        .map(key -> new HmacTicketCodec(utf8Bytes(key.secret())))
                        .toList());
    }

    /**
     * Returns the key of fingerprints.
     *
     * @param settings The settings.
     * @return The key.
     */
    static byte[] fingerprintKey(Settings.Tickets settings) {
        return utf8Bytes(settings.keys().get(0).secret());
    }

    /**
     * Returns the settings of the choice of endpoints with the keys of placement tokens.
     *
     * @param settings The settings.
     * @return The settings of the choice of endpoints.
     */
    static RoutingSettings routingSettings(Settings.Tickets settings) {
        Map<Integer, PlacementKeys.Key> keys = new LinkedHashMap<>();
        for (Settings.Key key : settings.keys()) {
            int id = sha256(key.id())[0] & BYTE_MASK;
            String secret =
                    Hashing.sha256()
                            .newHasher()
                            .putBytes(sha256("placement"))
                            .putBytes(sha256(key.secret()))
                            .hash()
                            .toString();
            keys.putIfAbsent(id, new PlacementKeys.Key(id, secret));
        }
        return RoutingSettings.DEFAULT.withPlacementKeys(
                PlacementKeys.of(List.copyOf(keys.values())));
    }

    /**
     * Returns the hash of a text.
     *
     * @param text The text.
     * @return The hash.
     */
    private static byte[] sha256(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).asBytes();
    }

    /**
     * Returns the bytes of a text.
     *
     * @param text The text.
     * @return The bytes.
     */
    private static byte[] utf8Bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
