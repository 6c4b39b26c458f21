/**
 * Highest configuration version that another node reported to be active.
 */
import type { Clock } from "@radishrouter/core";

/** Time for which a version counts after a node reported it, so that a wrong report does not stop a node for good. */
const LIFETIME_MS = 30_000;

/** The version, for as long as it counts. */
export class ReportedVersion {
    private version = -Infinity;
    private heardAtMs = -Infinity;

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): ReportedVersion {
        return new ReportedVersion(clock);
    }

    /** Records the version that a node reported; undefined if it has none. */
    record(version: number | undefined): void {
        if (version !== undefined && version >= this.current()) {
            this.version = version;
            this.heardAtMs = this.clock.nowMs();
        }
    }

    /** The version; negative infinity if none counts. */
    current(): number {
        return this.clock.nowMs() - this.heardAtMs < LIFETIME_MS ? this.version : -Infinity;
    }
}
