/**
 * Bounds the requests that one backend server runs at once.
 */
import { RequestError } from "../result-code.js";
import { importanceRank } from "../version/configuration.js";
import type { Importance } from "../version/configuration.js";
import type { Clock } from "./clock.js";

/** What the limiter has to know about a request. */
export interface ConcurrencyRequest {
    readonly organisation: string;
    readonly importance: Importance;
    /** Time of the limiter's clock by which the request has to be answered. */
    readonly deadlineMs: number;
    /** Aborted when the caller has gone away. */
    readonly signal: AbortSignal;
}

/** How the backend server answered; feeds the adaptive limit. */
export type RunOutcome = "completed" | "failed" | "timed-out" | "cancelled";

/** Permission to run one request; has to be released exactly once. */
export interface Permit {
    /** Milliseconds that the request waited for the permit. */
    readonly waitedMs: number;
    release(outcome: RunOutcome): void;
}

/** Load of one backend server as its own node sees it. */
export interface LocalLoad {
    readonly inFlight: number;
    readonly queued: number;
    readonly limit: number;
    /** Lowest importance rank that is admitted now; feeds shedding at the callers. */
    readonly admittedRank: number;
}

interface Waiter {
    readonly request: ConcurrencyRequest;
    readonly enqueuedAtMs: number;
    readonly grant: (permit: Permit) => void;
    readonly refuse: (error: RequestError) => void;
}

const RETRY_AFTER_MS = 1000;

/** Holds a limit and a short queue in front of one backend server. */
export class ConcurrencyLimiter {
    private inFlight = 0;
    private readonly queue: Waiter[] = [];

    private constructor(private readonly clock: Clock, private limit: number) {}

    static create(clock: Clock, options: { slots: number; }): ConcurrencyLimiter {
        return new ConcurrencyLimiter(clock, options.slots);
    }

    /** Changes the published number of slots. */
    setSlots(slots: number): void {
        this.limit = slots;
    }

    /** Load for choosing among backend servers and for feedback to callers. */
    load(): LocalLoad {
        return { inFlight: this.inFlight, queued: this.queue.length, limit: this.limit, admittedRank: 0 };
    }

    /**
     * Waits for permission to run a request.
     *
     * @throws RequestError when the request is shed or cannot be run before its deadline.
     */
    acquire(request: ConcurrencyRequest): Promise<Permit> {
        if (this.inFlight < this.limit) {
            return Promise.resolve(this.createPermit(this.clock.nowMs()));
        }
        if (this.queue.length >= this.limit) {
            const shed = this.removeLessImportant(request);
            if (!shed) {
                return Promise.reject(RequestError.create("overloaded", { retryAfterMs: RETRY_AFTER_MS }));
            }
            shed.refuse(RequestError.create("overloaded", { retryAfterMs: RETRY_AFTER_MS }));
        }
        return new Promise((grant, refuse) => {
            this.queue.push({ request, enqueuedAtMs: this.clock.nowMs(), grant, refuse });
        });
    }

    private removeLessImportant(request: ConcurrencyRequest): Waiter | undefined {
        const rank = importanceRank(request.importance);
        const index = this.queue.findIndex(waiter => importanceRank(waiter.request.importance) < rank);
        return index < 0 ? undefined : this.queue.splice(index, 1)[0];
    }

    private createPermit(enqueuedAtMs: number): Permit {
        this.inFlight++;
        let released = false;
        return {
            waitedMs: this.clock.nowMs() - enqueuedAtMs,
            release: () => {
                if (!released) {
                    released = true;
                    this.inFlight--;
                    this.grantNext();
                }
            },
        };
    }

    private grantNext(): void {
        while (this.inFlight < this.limit) {
            const waiter = this.takeNext();
            if (!waiter) {
                return;
            }
            if (waiter.request.signal.aborted) {
                waiter.refuse(RequestError.create("caller-gone", { execution: "not-run" }));
            }
            else if (waiter.request.deadlineMs <= this.clock.nowMs()) {
                waiter.refuse(RequestError.create("deadline-too-near"));
            }
            else {
                waiter.grant(this.createPermit(waiter.enqueuedAtMs));
            }
        }
    }

    private takeNext(): Waiter | undefined {
        let best = -1;
        for (let index = 0; index < this.queue.length; index++) {
            if (best < 0 || this.rankAt(index) > this.rankAt(best)) {
                best = index;
            }
        }
        return best < 0 ? undefined : this.queue.splice(best, 1)[0];
    }

    private rankAt(index: number): number {
        return importanceRank(this.queue[index]!.request.importance);
    }
}
