/**
 * Bounds the requests that one backend server runs at once, with a short queue in front of it.
 */
import { RequestError } from "../result-code.js";
import type { ResultName } from "../result-code.js";
import { importanceRank } from "../version/configuration.js";
import type { Importance } from "../version/configuration.js";
import { AdaptiveLimit } from "./adaptive-limit.js";
import type { Clock, Timer } from "./clock.js";
import { FairQueue } from "./fair-queue.js";
import { ServiceTimes } from "./service-times.js";

/** What the limiter has to know about a request. */
export interface ConcurrencyRequest {
    readonly organisation: string;
    readonly importance: Importance;
    /** Names requests that take about the same time; all requests share one name when absent. */
    readonly routeName?: string;
    /** Time of the limiter's clock by which the request has to be answered. */
    readonly deadlineMs: number;
    /** Aborted when the caller has gone away. */
    readonly signal: AbortSignal;
    /** Called before a request is shed, with the part of its share of the queue that its organisation used. */
    readonly onShed?: (usedPart: number) => void;
}

/** How the backend server answered; feeds the adaptive limit. */
export type RunOutcome = "completed" | "failed" | "timed-out" | "cancelled";

/** Permission to run one request; has to be released exactly once. */
export interface Permit {
    /** Milliseconds that the request waited for the permit. */
    readonly waitedMs: number;
    /** 0 when the request did not wait, 1 when its organisation used its whole part of the queue. */
    readonly pressure: number;
    /** Ends the run; `onwardMs` is the part of it that was spent waiting for onward calls. */
    release(outcome: RunOutcome, onwardMs?: number): void;
}

/** Load of one backend server as its own node sees it. */
export interface LocalLoad {
    readonly inFlight: number;
    readonly queued: number;
    readonly limit: number;
    /** Lowest importance rank that is admitted now. */
    readonly admittedRank: number;
}

/** Which parts of the limiter are in force. */
export interface ConcurrencyLimiterOptions {
    /** Published slots of the backend server. */
    readonly slots: number;
    /** Whether the limit goes below the slots when latency shows contention. */
    readonly adaptive?: boolean;
    /** Whether the queue is fair between organisations. */
    readonly fair?: boolean;
    /** Whether requests run without any limit. */
    readonly unlimited?: boolean;
}

interface Waiter {
    readonly organisation: string;
    readonly rank: number;
    readonly request: ConcurrencyRequest;
    readonly enqueuedAtMs: number;
    pressure: number;
    readonly grant: (permit: Permit) => void;
    readonly refuse: (error: RequestError) => void;
    /** Ends the watch for the deadline and the caller. */
    readonly settle: () => void;
}

const QUEUE_AT_LEAST = 4;
const RETRY_AFTER_MS = 1000;
const SAME_WEIGHT = 1;

/** Holds a limit and a short queue in front of one backend server. */
export class ConcurrencyLimiter {
    private inFlight = 0;
    private shedRank = -1;
    private readonly limit: AdaptiveLimit;
    private readonly queue: FairQueue<Waiter>;
    private readonly serviceTimes: ServiceTimes;

    private constructor(private readonly clock: Clock, private readonly options: ConcurrencyLimiterOptions) {
        this.limit = AdaptiveLimit.create(clock, options);
        this.serviceTimes = ServiceTimes.create(clock);
        this.queue = FairQueue.create(() => SAME_WEIGHT);
    }

    static create(clock: Clock, options: ConcurrencyLimiterOptions): ConcurrencyLimiter {
        return new ConcurrencyLimiter(clock, options);
    }

    /** Changes the published number of slots. */
    setSlots(slots: number): void {
        this.limit.setSlots(slots);
        this.grantNext();
    }

    /** Sets the weight of each organisation in the queue. */
    setWeights(weightOf: (organisation: string) => number): void {
        this.queue.setWeights(weightOf);
    }

    /** Load for choosing among backend servers and for operators. */
    load(): LocalLoad {
        const isFull = this.queue.length >= this.queueLimit();
        return {
            inFlight: this.inFlight,
            queued: this.queue.length,
            limit: this.currentLimit(),
            admittedRank: isFull ? this.shedRank + 1 : 0,
        };
    }

    /** Part of the queue that is in use, from 0 to 1. */
    occupancy(): number {
        return Math.min(1, this.queue.length / this.queueLimit());
    }

    /**
     * Waits for permission to run a request.
     *
     * @throws RequestError when the request is shed or cannot be run before its deadline.
     */
    acquire(request: ConcurrencyRequest): Promise<Permit> {
        if (this.options.unlimited) {
            return Promise.resolve(this.createPermit(request, this.clock.nowMs()));
        }
        if (!this.canMeetDeadline(request)) {
            return Promise.reject(RequestError.create("deadline-too-near", { retryAfterMs: this.retryAfterMs() }));
        }
        if (this.inFlight < this.currentLimit() && this.queue.length === 0) {
            return Promise.resolve(this.createPermit(request, this.clock.nowMs()));
        }
        return new Promise((grant, refuse) => {
            this.enqueue(request, grant, refuse);
            if (this.queue.length > this.queueLimit()) {
                this.shedLeast();
            }
        });
    }

    private enqueue(
        request: ConcurrencyRequest,
        grant: (permit: Permit) => void,
        refuse: (error: RequestError) => void,
    ): void {
        const leave = (error: RequestError) => {
            if (this.queue.remove(waiter)) {
                waiter.settle();
                refuse(error);
            }
        };
        const onAbort = () => leave(notRun(request.signal.reason));
        const lastStartMs = request.deadlineMs - this.serviceTimes.expectedMs(request.routeName);
        const timer: Timer = this.clock.setTimer(
            lastStartMs - this.clock.nowMs(),
            () => leave(RequestError.create("deadline-too-near", { retryAfterMs: this.retryAfterMs() })),
        );
        request.signal.addEventListener("abort", onAbort, { once: true });
        const waiter: Waiter = {
            organisation: this.options.fair === false ? "" : request.organisation,
            rank: importanceRank(request.importance),
            request,
            enqueuedAtMs: this.clock.nowMs(),
            pressure: 0,
            grant,
            refuse,
            settle: () => {
                timer.cancel();
                request.signal.removeEventListener("abort", onAbort);
            },
        };
        this.queue.push(waiter);
        waiter.pressure = Math.min(1, this.queue.usedPart(waiter.organisation, waiter.rank, this.queueLimit()));
    }

    private shedLeast(): void {
        const shed = this.queue.takeLeast();
        if (shed) {
            this.shedRank = shed.rank;
            shed.settle();
            shed.request.onShed?.(shed.pressure);
            shed.refuse(RequestError.create("overloaded", { retryAfterMs: this.retryAfterMs() }));
        }
    }

    /** Whether a request that queues now can still be answered in time. */
    private canMeetDeadline(request: ConcurrencyRequest): boolean {
        const serviceMs = this.serviceTimes.expectedMs(request.routeName);
        const ahead = this.queue.countAhead(importanceRank(request.importance) + 1);
        const waitMs = ahead * this.serviceTimes.meanMs() / this.currentLimit();
        return this.clock.nowMs() + waitMs + serviceMs <= request.deadlineMs;
    }

    private createPermit(request: ConcurrencyRequest, enqueuedAtMs: number, pressure = 0): Permit {
        this.inFlight++;
        const startMs = this.clock.nowMs();
        const inFlight = this.inFlight;
        const waitedMs = startMs - enqueuedAtMs;
        let released = false;
        return {
            waitedMs,
            pressure,
            release: (outcome, onwardMs = 0) => {
                if (!released) {
                    released = true;
                    this.inFlight--;
                    this.recordRun(request, outcome, { totalMs: this.clock.nowMs() - startMs, onwardMs, inFlight });
                    this.grantNext();
                }
            },
        };
    }

    private recordRun(
        request: ConcurrencyRequest,
        outcome: RunOutcome,
        run: { totalMs: number; onwardMs: number; inFlight: number; },
    ): void {
        if (outcome !== "completed") {
            return;
        }
        this.serviceTimes.record(request.routeName, run.totalMs);
        if (this.options.adaptive !== false) {
            this.limit.record(Math.max(0, run.totalMs - run.onwardMs), run.inFlight);
        }
    }

    private grantNext(): void {
        while (this.inFlight < this.currentLimit()) {
            const waiter = this.queue.takeNext();
            if (!waiter) {
                return;
            }
            waiter.settle();
            waiter.grant(this.createPermit(waiter.request, waiter.enqueuedAtMs, waiter.pressure));
        }
    }

    private currentLimit(): number {
        return this.limit.current;
    }

    private queueLimit(): number {
        return Math.max(QUEUE_AT_LEAST, this.currentLimit());
    }

    /** Time in which a full queue drains. */
    private drainMs(): number {
        return this.queueLimit() * this.serviceTimes.meanMs() / this.currentLimit();
    }

    private retryAfterMs(): number {
        return Math.max(RETRY_AFTER_MS, this.drainMs());
    }
}

/** The reason for which a request was given up, as an error of a request that was not run. */
function notRun(reason: unknown): RequestError {
    if (!(reason instanceof RequestError)) {
        return RequestError.create("caller-gone", { execution: "not-run" });
    }
    return RequestError.create(reason.result.name as ResultName, { execution: "not-run", detail: reason.message });
}
