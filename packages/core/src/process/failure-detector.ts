/**
 * Detects missing heartbeats, with a timeout that follows the intervals between the heartbeats of each host.
 */
import type { Clock } from "./clock.js";

/** Heartbeats received from one host. */
interface HeartbeatStatistics {
    lastHeartbeatMs: number;
    meanIntervalMs: number;
    deviationMs: number;
}

/** The weights and the number of deviations are those of the retransmission timer of TCP (RFC 6298). */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
const TIMEOUT_DEVIATIONS = 4;
/** Shortest and longest timeout, in heartbeat intervals. */
const MINIMUM_TIMEOUT_INTERVALS = 2.5;
const MAXIMUM_TIMEOUT_INTERVALS = 8;

/** Keeps heartbeat statistics of each watched host; the timeout adapts to how regularly its heartbeats arrive. */
export class FailureDetector {
    private readonly statistics = new Map<string, HeartbeatStatistics>();

    private constructor(private readonly clock: Clock, private readonly intervalMs: number) {}

    /** @param options.intervalMs interval between heartbeats of a healthy host, in milliseconds */
    static create(options: { clock: Clock; intervalMs: number; }): FailureDetector {
        return new FailureDetector(options.clock, options.intervalMs);
    }

    /** Watches exactly these hosts; the timeout of a new one starts now. */
    setWatchedHosts(hosts: ReadonlySet<string>): void {
        for (const name of [...this.statistics.keys()].filter(name => !hosts.has(name))) {
            this.statistics.delete(name);
        }
        for (const name of hosts) {
            if (!this.statistics.has(name)) {
                this.statistics.set(name, {
                    lastHeartbeatMs: this.clock.nowMs(),
                    meanIntervalMs: this.intervalMs,
                    deviationMs: this.intervalMs / 2,
                });
            }
        }
    }

    /** Records a heartbeat; one of a host that is not watched is ignored. */
    recordHeartbeat(name: string): void {
        const entry = this.statistics.get(name);
        if (!entry) {
            return;
        }
        const intervalMs = Math.min(
            this.clock.nowMs() - entry.lastHeartbeatMs,
            this.intervalMs * MAXIMUM_TIMEOUT_INTERVALS,
        );
        entry.lastHeartbeatMs = this.clock.nowMs();
        entry.deviationMs += (Math.abs(intervalMs - entry.meanIntervalMs) - entry.deviationMs) * DEVIATION_WEIGHT;
        entry.meanIntervalMs += (intervalMs - entry.meanIntervalMs) * MEAN_WEIGHT;
    }

    /** Whether no heartbeat of a watched host has arrived for longer than its timeout. */
    hasTimedOut(name: string): boolean {
        const entry = this.statistics.get(name);
        return entry !== undefined && this.clock.nowMs() - entry.lastHeartbeatMs > this.timeoutMs(name);
    }

    /** Time without a heartbeat after which a host has timed out, in milliseconds. */
    timeoutMs(name: string): number {
        const entry = this.statistics.get(name);
        const expectedMs = entry ? entry.meanIntervalMs + TIMEOUT_DEVIATIONS * entry.deviationMs : 0;
        const minimumMs = this.intervalMs * MINIMUM_TIMEOUT_INTERVALS;
        return Math.min(Math.max(expectedMs, minimumMs), this.intervalMs * MAXIMUM_TIMEOUT_INTERVALS);
    }

    /** Restarts the timeout of every host; for a process that was itself paused and missed their heartbeats. */
    restartTimeouts(): void {
        for (const entry of this.statistics.values()) {
            entry.lastHeartbeatMs = this.clock.nowMs();
        }
    }
}
