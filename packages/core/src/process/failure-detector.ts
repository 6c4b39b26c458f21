/**
 * Decides from the intervals between signs of life when a host is overdue.
 */
import type { Clock } from "./clock.js";

/** Signs of life of one host. */
interface ObservedArrivals {
    lastMs: number;
    meanMs: number;
    deviationMs: number;
}

const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
const DEVIATIONS = 4;
const MINIMUM_TIMEOUT_INTERVALS = 2.5;
const MAXIMUM_TIMEOUT_INTERVALS = 8;

/** Keeps arrival statistics of each watched host; the timeout adapts to how regularly a host is heard. */
export class FailureDetector {
    private readonly arrivals = new Map<string, ObservedArrivals>();

    private constructor(private readonly clock: Clock, private readonly intervalMs: number) {}

    /** @param options.intervalMs interval at which a healthy host is heard, in milliseconds */
    static create(options: { clock: Clock; intervalMs: number; }): FailureDetector {
        return new FailureDetector(options.clock, options.intervalMs);
    }

    /** Watches exactly these hosts; a new one counts as heard now. */
    watch(hosts: ReadonlySet<string>): void {
        for (const name of [...this.arrivals.keys()].filter(name => !hosts.has(name))) {
            this.arrivals.delete(name);
        }
        for (const name of hosts) {
            if (!this.arrivals.has(name)) {
                this.arrivals.set(name, {
                    lastMs: this.clock.nowMs(),
                    meanMs: this.intervalMs,
                    deviationMs: this.intervalMs / 2,
                });
            }
        }
    }

    /** Records a sign of life. */
    arrived(name: string): void {
        const entry = this.arrivals.get(name);
        if (!entry) {
            return;
        }
        const intervalMs = Math.min(this.clock.nowMs() - entry.lastMs, this.intervalMs * MAXIMUM_TIMEOUT_INTERVALS);
        entry.lastMs = this.clock.nowMs();
        entry.deviationMs += (Math.abs(intervalMs - entry.meanMs) - entry.deviationMs) * DEVIATION_WEIGHT;
        entry.meanMs += (intervalMs - entry.meanMs) * MEAN_WEIGHT;
    }

    /** Whether a host has been silent for longer than its timeout. */
    isOverdue(name: string): boolean {
        const entry = this.arrivals.get(name);
        return entry !== undefined && this.clock.nowMs() - entry.lastMs > this.timeoutMs(name);
    }

    /** Silence after which a host is overdue, in milliseconds. */
    timeoutMs(name: string): number {
        const entry = this.arrivals.get(name);
        const expectedMs = entry ? entry.meanMs + DEVIATIONS * entry.deviationMs : 0;
        const minimumMs = this.intervalMs * MINIMUM_TIMEOUT_INTERVALS;
        return Math.min(Math.max(expectedMs, minimumMs), this.intervalMs * MAXIMUM_TIMEOUT_INTERVALS);
    }

    /** Counts every host as heard now; for a process that was itself paused and missed what was sent to it. */
    forgive(): void {
        for (const entry of this.arrivals.values()) {
            entry.lastMs = this.clock.nowMs();
        }
    }
}
