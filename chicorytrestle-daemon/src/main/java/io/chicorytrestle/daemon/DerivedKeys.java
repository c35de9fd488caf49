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

/**
 * Derives the keys of tickets, fingerprints and placement tokens from the secrets of the settings.
 */
final class DerivedKeys {

    /** Masks the byte of a hash that identifies a placement key. */
    private static final int BYTE_MASK = 0xff;

    /** Not instantiable. */
    private DerivedKeys() {}

    /**
     * Creates the codec of tickets.
     *
     * @param settings The settings.
     * @return The codec, which signs with the first key and accepts tickets of all keys.
     */
    static TicketCodec ticketCodec(Settings.Tickets settings) {
        return new RotatingTicketCodec(
                settings.keys().stream()
                        .map(key -> new HmacTicketCodec(utf8Bytes(key.secret())))
                        .toList());
    }

    /**
     * Returns the key that fingerprints are computed with.
     *
     * @param settings The settings.
     * @return The key, from the first secret.
     */
    static byte[] fingerprintKey(Settings.Tickets settings) {
        return utf8Bytes(settings.keys().get(0).secret());
    }

    /**
     * Returns the routing settings with the keys of placement tokens.
     *
     * @param settings The settings.
     * @return The default routing settings with these keys.
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
     * Returns the SHA-256 of a text in UTF-8.
     *
     * @param text The text.
     * @return The 32 bytes of the hash.
     */
    private static byte[] sha256(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).asBytes();
    }

    /**
     * Encodes a text in UTF-8.
     *
     * @param text The text.
     * @return The bytes.
     */
    private static byte[] utf8Bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
