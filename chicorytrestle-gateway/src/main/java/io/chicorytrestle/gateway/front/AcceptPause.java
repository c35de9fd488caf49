package io.chicorytrestle.gateway.front;

/**
 * Enumerates why an instance leaves new connections to the operating system, which holds them at no
 * cost of processor time.
 */
public enum AcceptPause {

    /** The instance knows no routing table or no endpoints yet, so that it could only refuse. */
    STARTING,

    /** The instance has received more requests than it could start. */
    BEHIND
}
