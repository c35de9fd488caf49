package io.chicorytrestle.gateway.fleet;

/** Tells the sender of a message that the connection still carries its messages. */
public enum Acknowledgement implements FleetMessage {

    /** The singleton instance. */
    INSTANCE
}
