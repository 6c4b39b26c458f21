/**
 * Waits of a node that follows the published state. They follow from the time within which a withdrawn key must be
 * refused, because a proof that the configuration is current has to reach every node well within it.
 */

/** Lease that the waits are made for if keys need no proof that they are current. */
const DEFAULT_LEASE_MS = 5_000;
/** Fractions of the lease: two waits of the platform and one of a peer have to pass well before a proof is outdated. */
const PLATFORM_WAIT_FRACTION = 0.16;
const PEER_WAIT_FRACTION = 0.1;
const OUTDATED_FRACTION = 0.48;
/** Above what the loss of a source costs, and below an outage in which entries lapse. */
const OUTAGE_FRACTION = 0.4;
const MAXIMUM_PLATFORM_WAIT_MS = 800;
const MAXIMUM_PEER_WAIT_MS = 500;
const MAXIMUM_OUTAGE_PROOF_AGE_MS = 2_000;
/** Above the age for an outage, so that a node whose peers are outdated asks the platform itself. */
const MAXIMUM_OUTDATED_MS = 2_400;

/** Waits and ages of a follower. */
export interface FollowWaits {
    /** Time for which the platform may wait for changes; each answer renews the configuration lease of the fleet. */
    readonly platformWaitMs: number;
    /** Time for which a peer may wait for something newer; a peer that stops is noticed a little later. */
    readonly peerWaitMs: number;
    /** Age of its last proof from which a peer no longer counts as current. */
    readonly outdatedAfterMs: number;
    /** Age of the last proof, from whatever source, from which the platform counts as down for all nodes. */
    readonly outageProofAgeMs: number;
}

/** Returns the waits for a lease; undefined is the lease of a fleet whose keys need no proof. */
export function followWaitsFor(leaseMs = DEFAULT_LEASE_MS): FollowWaits {
    return {
        platformWaitMs: Math.ceil(Math.min(MAXIMUM_PLATFORM_WAIT_MS, leaseMs * PLATFORM_WAIT_FRACTION)),
        peerWaitMs: Math.min(MAXIMUM_PEER_WAIT_MS, leaseMs * PEER_WAIT_FRACTION),
        outdatedAfterMs: Math.min(MAXIMUM_OUTDATED_MS, leaseMs * OUTDATED_FRACTION),
        outageProofAgeMs: Math.min(MAXIMUM_OUTAGE_PROOF_AGE_MS, leaseMs * OUTAGE_FRACTION),
    };
}
