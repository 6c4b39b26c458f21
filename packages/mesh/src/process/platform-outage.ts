/**
 * What this node knows of the last outage of the platform, for all of the fleet.
 *
 * Entries of running servers lapse during an outage, and their servers write them again soon after it. Two observations
 * together show an outage: the proofs of this node grew old, and the platform failed to answer it meanwhile. A node that
 * the platform turns away still gets proofs from other nodes, and a node whose sources stopped gets an answer from the
 * platform.
 */
import type { Clock } from "@radishrouter/core";

/** Time after an outage of the platform within which entries that lapsed during it have come back. */
const LAPSED_ENTRY_RETURN_MS = 2_500;

/** The last outage of the platform. */
export class PlatformOutage {
    private failing = false;
    /** Time at which the platform last failed to answer this node. */
    private failedAtMs = -Infinity;
    /** Time at which the platform was first known to answer again. */
    private endedAtMs = -Infinity;

    private constructor(private readonly clock: Clock, private readonly minimumProofAgeMs: number) {}

    /** `minimumProofAgeMs` is the age of the last proof from which the platform counts as having been down. */
    static create(clock: Clock, minimumProofAgeMs: number): PlatformOutage {
        return new PlatformOutage(clock, minimumProofAgeMs);
    }

    /** Whether the platform did not answer when this node asked it last. */
    get isFailing(): boolean {
        return this.failing;
    }

    /** Records that the platform did not answer this node; returns whether it did before. */
    recordFailure(): boolean {
        const isFirst = !this.failing;
        this.failing = true;
        this.failedAtMs = this.clock.nowMs();
        return isFirst;
    }

    /** Records an answer of the platform to this node; returns whether it had failed before. */
    recordAnswer(): boolean {
        const isRegained = this.failing;
        this.failing = false;
        return isRegained;
    }

    /** Records news of the platform, from itself or handed on, with the age of the last proof before it. */
    recordNews(lastProofAgeMs: number): void {
        const nowMs = this.clock.nowMs();
        const hasFailedSinceProof = nowMs - this.failedAtMs < lastProofAgeMs;
        if (Number.isFinite(lastProofAgeMs) && lastProofAgeMs > this.minimumProofAgeMs && hasFailedSinceProof) {
            this.endedAtMs = nowMs;
        }
    }

    /** Records that the platform came back from an older copy, from which entries may be missing. */
    recordOlderCopy(): void {
        this.endedAtMs = this.clock.nowMs();
    }

    /** Records what another node knows, for a node that has just started; a time that is no number says nothing. */
    recordReport(sinceOutageMs: number): void {
        const endedAtMs = this.clock.nowMs() - Math.max(0, sinceOutageMs);
        if (endedAtMs > this.endedAtMs) {
            this.endedAtMs = endedAtMs;
        }
    }

    /** Time in ms since the outage ended; infinite if there was none. */
    sinceMs(): number {
        return this.clock.nowMs() - this.endedAtMs;
    }

    /** Time in ms for which a server stays usable whose entry is missing. */
    lapsedEntryGraceMs(): number {
        return Math.max(0, LAPSED_ENTRY_RETURN_MS - this.sinceMs());
    }
}
