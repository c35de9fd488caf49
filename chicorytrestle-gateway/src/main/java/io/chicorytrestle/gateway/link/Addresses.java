package io.chicorytrestle.gateway.link;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Parses addresses of the form {@code IPv4:port}. Host names are not accepted, so that parsing
 * never blocks on DNS.
 */
public final class Addresses {

    /** The number of octets of an IPv4 address. */
    private static final int OCTETS = 4;

    /** The largest value of an octet. */
    private static final int MAXIMUM_OCTET = 255;

    /** The largest TCP port. */
    private static final int MAXIMUM_PORT = 65_535;

    /** Prevents instantiation. */
    private Addresses() {}

    /**
     * Parses an address.
     *
     * @param address The IPv4 address and the port, separated by a colon.
     * @return The address.
     * @throws IllegalArgumentException If the port is missing, or the address is malformed or out
     *     of range.
     */
    public static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("Address has no port: " + address);
        }
        String[] parts = address.substring(0, colon).split("\\.", -1);
        if (parts.length != OCTETS) {
            throw new IllegalArgumentException("Address is not an IP number: " + address);
        }
        byte[] bytes = new byte[OCTETS];
        for (int index = 0; index < OCTETS; index++) {
            bytes[index] = (byte) parseNumber(parts[index], MAXIMUM_OCTET, address);
        }
        try {
            return new InetSocketAddress(
                    InetAddress.getByAddress(bytes),
                    parseNumber(address.substring(colon + 1), MAXIMUM_PORT, address));
        } catch (UnknownHostException exception) {
            throw new IllegalArgumentException(
                    "Address is not an IP number: " + address, exception);
        }
    }

    /**
     * Parses an octet or a port.
     *
     * @param text The digits.
     * @param maximum The largest allowed value.
     * @param address The complete address, for the error message.
     * @return The number.
     * @throws IllegalArgumentException If the number is malformed or out of range.
     */
    private static int parseNumber(String text, int maximum, String address) {
        int number;
        try {
            number = Integer.parseInt(text);
        } catch (NumberFormatException exception) {
            throw new IllegalArgumentException("Address is malformed: " + address, exception);
        }
        if (number < 0 || number > maximum) {
            throw new IllegalArgumentException("Address is out of range: " + address);
        }
        return number;
    }
}
