/**
 * Remembers for a while when organisations were withdrawn, so that one that returns does not get its burst again.
 */
import type { Clock } from "@radishrouter/core";

/** Time for which a withdrawal is remembered; after it, an organisation that returns gets its burst at once. */
const MEMORY_MS = 60_000;

/** Withdrawals of the last minute. */
export class Withdrawals {
    /** Times of the withdrawals by name of the organisation. */
    private readonly timesMs = new Map<string, number>();

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): Withdrawals {
        return new Withdrawals(clock);
    }

    /** Time at which an organisation was withdrawn last; undefined if that is not remembered. */
    timeOf(name: string): number | undefined {
        return this.timesMs.get(name);
    }

    /** Records the organisations that a version no longer has. */
    record(before: ReadonlyMap<string, unknown>, after: ReadonlyMap<string, unknown>): void {
        const nowMs = this.clock.nowMs();
        for (const [name, atMs] of this.timesMs) {
            if (nowMs - atMs > MEMORY_MS) {
                this.timesMs.delete(name);
            }
        }
        for (const name of before.keys()) {
            if (!after.has(name)) {
                this.timesMs.set(name, nowMs);
            }
        }
    }
}
