/**
 * Tells a silent connection to the backend server from a request that takes long.
 */
import type { Clock, Timer } from "@radishrouter/core";
import { setRepeatingTimer } from "@radishrouter/core";

/** One request that waits for the headers of its answer. */
export interface WaitingExchange {
    /** Stops waiting once the headers have come or the request has failed. */
    end(outcome: "answered" | "failed"): void;
}

interface Waiting {
    readonly route: string;
    readonly startedAtMs: number;
    readonly onSilent: () => void;
}

const CHECK_INTERVAL_MS = 250;
/** Least time without an answer after which a connection can count as silent. */
const SILENT_MS = 2_000;
/** Multiple of the route's usual latency that has to have passed as well. */
const LATENCY_FACTOR = 5;
const LATENCY_WEIGHT = 0.1;
const MAXIMUM_ROUTES = 1_000;

/**
 * Watches requests on the backend server.
 *
 * HTTP/1.1 gives no sign of life while a request runs. A connection counts as silent when its request has waited far
 * longer than the route usually takes while the same server answered a request of the same route that was sent later.
 */
export class BackendSilence {
    private readonly waiting = new Set<Waiting>();
    private readonly latenciesMs = new Map<string, number>();
    /** Start of the latest request that was answered, by route. */
    private readonly answeredStartsMs = new Map<string, number>();
    private readonly timer: Timer;

    private constructor(private readonly clock: Clock, private readonly onSilentConnections: () => void) {
        this.timer = setRepeatingTimer(clock, CHECK_INTERVAL_MS, () => this.check());
    }

    /** The callback is called once for each check that found silent connections. */
    static create(clock: Clock, onSilentConnections: () => void): BackendSilence {
        return new BackendSilence(clock, onSilentConnections);
    }

    /** Notes that a request was sent; `onSilent` is called when its connection counts as silent. */
    start(route: string, onSilent: () => void): WaitingExchange {
        const startedAtMs = this.clock.nowMs();
        const waiting = { route, startedAtMs, onSilent };
        this.waiting.add(waiting);
        return {
            end: outcome => {
                if (this.waiting.delete(waiting) && outcome === "answered") {
                    this.learn(waiting);
                }
            },
        };
    }

    /** Stops checking. */
    close(): void {
        this.timer.cancel();
    }

    private learn({ route, startedAtMs }: Waiting): void {
        if (!this.latenciesMs.has(route) && this.latenciesMs.size >= MAXIMUM_ROUTES) {
            this.latenciesMs.clear();
            this.answeredStartsMs.clear();
        }
        const latencyMs = this.clock.nowMs() - startedAtMs;
        const earlierMs = this.latenciesMs.get(route) ?? latencyMs;
        this.latenciesMs.set(route, earlierMs + (latencyMs - earlierMs) * LATENCY_WEIGHT);
        this.answeredStartsMs.set(route, Math.max(startedAtMs, this.answeredStartsMs.get(route) ?? 0));
    }

    private check(): void {
        const silent = [...this.waiting].filter(waiting => this.isSilent(waiting));
        for (const waiting of silent) {
            this.waiting.delete(waiting);
            waiting.onSilent();
        }
        if (silent.length > 0) {
            this.onSilentConnections();
        }
    }

    private isSilent({ route, startedAtMs }: Waiting): boolean {
        const waitedMs = this.clock.nowMs() - startedAtMs;
        const usualMs = this.latenciesMs.get(route) ?? 0;
        const laterWasAnswered = (this.answeredStartsMs.get(route) ?? 0) > startedAtMs;
        return laterWasAnswered && waitedMs > Math.max(SILENT_MS, LATENCY_FACTOR * usualMs);
    }
}
