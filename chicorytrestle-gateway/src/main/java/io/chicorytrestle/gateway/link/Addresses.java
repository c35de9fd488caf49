package io.chicorytrestle.gateway.link;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Reads addresses of an IP number and a port, without any look-up of names. */
public final class Addresses {

    /** The parts of an IP number of version 4. */
    private static final int OCTETS = 4;

    /** The largest value of a part. */
    private static final int MAXIMUM_OCTET = 255;

    /** The largest port. */
    private static final int MAXIMUM_PORT = 65_535;

    /** Not to be created. */
    private Addresses() {}

    /**
     * Reads an address.
     *
     * @param address The IP number and the port, separated by a colon.
     * @return The address.
     * @throws IllegalArgumentException If the address is malformed.
     */
    public static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("Address has no port: " + address);
        }
        String[] parts = address.substring(0, colon).split("\\.", -1);
        if (parts.length != OCTETS) {
            throw new IllegalArgumentException("Address is no IP number: " + address);
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
            throw new IllegalArgumentException("Address is no IP number: " + address, exception);
        }
    }

    /**
     * Reads a number of an address.
     *
     * @param text The digits.
     * @param maximum The largest value.
     * @param address The whole address, for the error.
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
