/**
 * What this node knows of the last outage of the platform, its own or one that another node handed on.
 *
 * Entries of running servers lapse during an outage, and their servers write them again soon after it.
 */
import type { Clock } from "@radishrouter/core";

/** Time after an outage of the platform within which entries that lapsed during it have come back. */
const LAPSED_ENTRY_RETURN_MS = 2_500;

/** The last outage of the platform. */
export class PlatformOutage {
    private failing = false;
    /** Time at which the platform failed last or, once it answers again, at which it first did. */
    private endedAtMs = -Infinity;

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): PlatformOutage {
        return new PlatformOutage(clock);
    }

    /** Whether the platform did not answer when this node asked it last. */
    get isFailing(): boolean {
        return this.failing;
    }

    /** Records that the platform did not answer; returns whether it did before. */
    recordFailure(): boolean {
        const isFirst = !this.failing;
        this.failing = true;
        this.endedAtMs = this.clock.nowMs();
        return isFirst;
    }

    /**
     * Records an answer of the platform; returns whether it had failed before. Servers write lapsed entries again when
     * the platform is back, which may be long after the last failure.
     */
    recordAnswer(): boolean {
        const isRegained = this.failing;
        if (isRegained) {
            this.failing = false;
            this.endedAtMs = this.clock.nowMs();
        }
        return isRegained;
    }

    /** Records that the platform came back from an older copy, from which entries may be missing. */
    recordOlderCopy(): void {
        this.endedAtMs = this.clock.nowMs();
    }

    /** Records what another node knows; a time that is no number says nothing. */
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
