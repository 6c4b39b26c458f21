/**
 * Detects connections to the backend server that stopped responding, as opposed to requests that take long.
 */
import type { Clock, Timer } from "@radishrouter/core";
import { setRepeatingTimer } from "@radishrouter/core";

/** One request that waits for its response headers. */
export interface PendingExchange {
    /** Ends the wait: the headers have arrived or the request has failed. */
    end(outcome: "answered" | "failed"): void;
}

interface PendingRequest {
    readonly route: string;
    readonly startedAtMs: number;
    readonly onUnresponsive: () => void;
}

const CHECK_INTERVAL_MS = 250;
/** Minimum time that a request has to wait before its connection can count as unresponsive. */
const MINIMUM_WAIT_MS = 2_000;
/** The wait also has to exceed the average latency of the route by this factor. */
const LATENCY_FACTOR = 5;
/** Weight of the newest latency in the moving average of a route. */
const LATENCY_WEIGHT = 0.1;
/** Routes with latency statistics; when one more comes, all statistics are removed and collected anew. */
const MAXIMUM_ROUTES = 1_000;

/**
 * Detects unresponsive connections to the backend server by the requests that wait on them.
 *
 * HTTP/1.1 has no heartbeat while a request runs. A connection counts as unresponsive when its request has waited much
 * longer than the route takes on average, and the server has responded to a request of the same route that was sent
 * later.
 */
export class UnresponsiveConnectionDetector {
    private readonly pending = new Set<PendingRequest>();
    private readonly averageLatenciesMs = new Map<string, number>();
    /** Latest start among the requests that got a response, by route. */
    private readonly latestStartsMs = new Map<string, number>();
    private readonly timer: Timer;

    private constructor(private readonly clock: Clock, private readonly onUnresponsiveConnections: () => void) {
        this.timer = setRepeatingTimer(clock, CHECK_INTERVAL_MS, () => this.check());
    }

    /** The callback is called once for each check that finds unresponsive connections. */
    static create(clock: Clock, onUnresponsiveConnections: () => void): UnresponsiveConnectionDetector {
        return new UnresponsiveConnectionDetector(clock, onUnresponsiveConnections);
    }

    /** Records that a request was sent; `onUnresponsive` is called when its connection counts as unresponsive. */
    start(route: string, onUnresponsive: () => void): PendingExchange {
        const startedAtMs = this.clock.nowMs();
        const request = { route, startedAtMs, onUnresponsive };
        this.pending.add(request);
        return {
            end: outcome => {
                if (this.pending.delete(request) && outcome === "answered") {
                    this.recordLatency(request);
                }
            },
        };
    }

    /** Stops checking. */
    close(): void {
        this.timer.cancel();
    }

    private recordLatency({ route, startedAtMs }: PendingRequest): void {
        if (!this.averageLatenciesMs.has(route) && this.averageLatenciesMs.size >= MAXIMUM_ROUTES) {
            this.averageLatenciesMs.clear();
            this.latestStartsMs.clear();
        }
        const latencyMs = this.clock.nowMs() - startedAtMs;
        const averageMs = this.averageLatenciesMs.get(route) ?? latencyMs;
        this.averageLatenciesMs.set(route, averageMs + (latencyMs - averageMs) * LATENCY_WEIGHT);
        this.latestStartsMs.set(route, Math.max(startedAtMs, this.latestStartsMs.get(route) ?? 0));
    }

    private check(): void {
        const unresponsive = [...this.pending].filter(request => this.isUnresponsive(request));
        for (const request of unresponsive) {
            this.pending.delete(request);
            request.onUnresponsive();
        }
        if (unresponsive.length > 0) {
            this.onUnresponsiveConnections();
        }
    }

    private isUnresponsive({ route, startedAtMs }: PendingRequest): boolean {
        const waitedMs = this.clock.nowMs() - startedAtMs;
        const averageMs = this.averageLatenciesMs.get(route) ?? 0;
        const laterGotResponse = (this.latestStartsMs.get(route) ?? 0) > startedAtMs;
        return laterGotResponse && waitedMs > Math.max(MINIMUM_WAIT_MS, LATENCY_FACTOR * averageMs);
    }
}
