package io.chicorytrestle.core.membership;

import io.chicorytrestle.core.peer.PeerMessage;

/**
 * Sends the digest of a zone's facts, to find out whether two instances hold equivalent facts.
 *
 * @param zone The availability zone.
 * @param digest The sum of the digests of the zone's buckets.
 */
public record MemberDigest(String zone, long digest) implements PeerMessage {}
