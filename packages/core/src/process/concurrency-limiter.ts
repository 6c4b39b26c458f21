/**
 * Limits the number of requests that one backend server runs at once, with a short queue in front of it.
 */
import { RequestError } from "../result-code.js";
import type { ResultName } from "../result-code.js";
import { importanceRank } from "../version/configuration.js";
import type { Importance } from "../version/configuration.js";
import { AdaptiveLimit } from "./adaptive-limit.js";
import type { Clock, Timer } from "./clock.js";
import { FairQueue } from "./fair-queue.js";
import { ServiceTimes } from "./service-times.js";

/** Properties of a request that the limiter needs. */
export interface ConcurrencyRequest {
    readonly organisation: string;
    readonly importance: Importance;
    /** Groups requests with similar service times; requests without a name form one group. */
    readonly routeName?: string;
    /** Time of the limiter's clock by which the request has to be answered. */
    readonly deadlineMs: number;
    /** Aborted when the caller has disconnected. */
    readonly signal: AbortSignal;
    /** Called before a request is shed, with the fraction of its share of the queue that its organisation used. */
    readonly onShed?: (usedShareFraction: number) => void;
}

/** Outcome of a run on the backend server; only completed runs update the adaptive limit. */
export type RunOutcome = "completed" | "failed" | "timed-out" | "cancelled";

/** Permission to run one request; has to be released exactly once. */
export interface Permit {
    /** Milliseconds for which the request waited for the permit. */
    readonly waitedMs: number;
    /** 0 when the request did not wait, up to 1 when its organisation used its full share of the queue. */
    readonly pressure: number;
    /** Ends the run; `downstreamMs` is the time within the run that was spent waiting for downstream calls. */
    release(outcome: RunOutcome, downstreamMs?: number): void;
}

/** Load of one backend server as measured by the node on the server's host. */
export interface LocalLoad {
    readonly inFlight: number;
    readonly queued: number;
    readonly limit: number;
    /** Lowest importance rank that is currently admitted. */
    readonly admittedRank: number;
}

/** Slots of the limiter and which of its mechanisms are active. */
export interface ConcurrencyLimiterOptions {
    /** Published slots of the backend server. */
    readonly slots: number;
    /** Whether the limit drops below the slots when latency indicates contention; defaults to true. */
    readonly adaptive?: boolean;
    /** Whether the queue is fair between organisations; defaults to true. */
    readonly fair?: boolean;
    /** Whether requests run without any limit; defaults to false. */
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
    /** Cancels the deadline timer and the abort listener. */
    readonly stopWaiting: () => void;
}

const MINIMUM_QUEUE_LIMIT = 4;
const MINIMUM_RETRY_AFTER_MS = 1000;
/** Time for which the importance that was shed last is reported while the queue is full. */
const SHED_RANK_LIFETIME_MS = 1000;
const DEFAULT_WEIGHT = 1;

/** Applies a concurrency limit and a short queue to the requests of one backend server. */
export class ConcurrencyLimiter {
    private inFlight = 0;
    /** Importance rank of the last request that was shed, and when that was. */
    private lastShed = { rank: -1, atMs: -Infinity };
    private readonly limit: AdaptiveLimit;
    private readonly queue: FairQueue<Waiter>;
    private readonly serviceTimes: ServiceTimes;

    private constructor(private readonly clock: Clock, private readonly options: ConcurrencyLimiterOptions) {
        this.limit = AdaptiveLimit.create(clock, options);
        this.serviceTimes = ServiceTimes.create(clock);
        this.queue = FairQueue.create(() => DEFAULT_WEIGHT);
    }

    static create(clock: Clock, options: ConcurrencyLimiterOptions): ConcurrencyLimiter {
        return new ConcurrencyLimiter(clock, options);
    }

    /** Sets the published number of slots. */
    setSlots(slots: number): void {
        this.limit.setSlots(slots);
        this.grantNext();
    }

    /** Sets the weight of each organisation in the queue. */
    setWeights(weightOf: (organisation: string) => number): void {
        this.queue.setWeights(weightOf);
    }

    /** Current load, for load balancing and for operators. */
    load(): LocalLoad {
        const isFull = this.queue.length >= this.queueLimit();
        return {
            inFlight: this.inFlight,
            queued: this.queue.length,
            limit: this.currentLimit(),
            admittedRank: isFull ? this.recentShedRank() + 1 : 0,
        };
    }

    /** Importance rank that was shed in this overload; -1 if none was. */
    private recentShedRank(): number {
        return this.clock.nowMs() - this.lastShed.atMs <= SHED_RANK_LIFETIME_MS ? this.lastShed.rank : -1;
    }

    /** Fraction of the queue that is in use, from 0 to 1. */
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
                this.shedLowestPriority();
            }
        });
    }

    private enqueue(
        request: ConcurrencyRequest,
        grant: (permit: Permit) => void,
        refuse: (error: RequestError) => void,
    ): void {
        const leaveQueue = (error: RequestError) => {
            if (this.queue.remove(waiter)) {
                waiter.stopWaiting();
                refuse(error);
            }
        };
        const onAbort = () => leaveQueue(toNotRunError(request.signal.reason));
        const latestStartMs = request.deadlineMs - this.serviceTimes.minimumExpectedMs(request.routeName);
        const timer: Timer = this.clock.setTimer(
            latestStartMs - this.clock.nowMs(),
            () => leaveQueue(RequestError.create("deadline-too-near", { retryAfterMs: this.retryAfterMs() })),
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
            stopWaiting: () => {
                timer.cancel();
                request.signal.removeEventListener("abort", onAbort);
            },
        };
        this.queue.push(waiter);
        waiter.pressure = Math.min(
            1,
            this.queue.usedShareFraction(waiter.organisation, waiter.rank, this.queueLimit()),
        );
    }

    private shedLowestPriority(): void {
        const shed = this.queue.takeNextToShed();
        if (shed) {
            this.lastShed = { rank: shed.rank, atMs: this.clock.nowMs() };
            shed.stopWaiting();
            shed.request.onShed?.(shed.pressure);
            shed.refuse(RequestError.create("overloaded", { retryAfterMs: this.retryAfterMs() }));
        }
    }

    /** Whether a request that is queued now can still be completed before its deadline. */
    private canMeetDeadline(request: ConcurrencyRequest): boolean {
        const serviceMs = this.serviceTimes.minimumExpectedMs(request.routeName);
        const queuedAhead = this.queue.countAhead(importanceRank(request.importance) + 1);
        const waitMs = queuedAhead * this.serviceTimes.meanMs() / this.currentLimit();
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
            release: (outcome, downstreamMs = 0) => {
                if (!released) {
                    released = true;
                    this.inFlight--;
                    this.recordRun(request, outcome, { totalMs: this.clock.nowMs() - startMs, downstreamMs, inFlight });
                    this.grantNext();
                }
            },
        };
    }

    private recordRun(
        request: ConcurrencyRequest,
        outcome: RunOutcome,
        run: { totalMs: number; downstreamMs: number; inFlight: number; },
    ): void {
        if (outcome !== "completed") {
            return;
        }
        this.serviceTimes.record(request.routeName, run.totalMs);
        if (this.options.adaptive !== false) {
            this.limit.record(Math.max(0, run.totalMs - run.downstreamMs), run.inFlight);
        }
    }

    private grantNext(): void {
        while (this.inFlight < this.currentLimit()) {
            const waiter = this.queue.takeNext();
            if (!waiter) {
                return;
            }
            waiter.stopWaiting();
            waiter.grant(this.createPermit(waiter.request, waiter.enqueuedAtMs, waiter.pressure));
        }
    }

    private currentLimit(): number {
        return this.limit.current;
    }

    private queueLimit(): number {
        return Math.max(MINIMUM_QUEUE_LIMIT, this.currentLimit());
    }

    /** Time in which a full queue drains. */
    private drainMs(): number {
        return this.queueLimit() * this.serviceTimes.meanMs() / this.currentLimit();
    }

    private retryAfterMs(): number {
        return Math.max(MINIMUM_RETRY_AFTER_MS, this.drainMs());
    }
}

/** Converts the abort reason of a queued request to an error that says that the request was not run. */
function toNotRunError(reason: unknown): RequestError {
    if (!(reason instanceof RequestError)) {
        return RequestError.create("caller-gone", { execution: "not-run" });
    }
    return RequestError.create(reason.result.name as ResultName, { execution: "not-run", detail: reason.message });
}
