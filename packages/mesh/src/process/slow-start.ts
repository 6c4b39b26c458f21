/**
 * Limits the requests that a backend server runs at once after it has started or recovered, until its responses show
 * that it takes its full load.
 *
 * Handles servers that are slow or fail under full load just after a start, and servers that are sound from the first
 * request on: the limit begins at a fraction of the slots and doubles with each round of responses at a usual service
 * time. While responses are slow, it grows only as long as more requests at once give more throughput, and it is halved
 * when requests fail.
 */
import type { Clock } from "@radishrouter/core";
import type { RequestLog } from "./request-log.js";

/** How a request ended at the server. */
export interface ServerRunResult {
    readonly route: string;
    /** Undefined when the request failed at the server. */
    readonly serviceMs: number | undefined;
    /** Requests that were at the server when this one ended, itself included. */
    readonly open: number;
}

/** Collaborators; the log is optional for simulations. */
export interface SlowStartOptions {
    readonly clock: Clock;
    readonly log?: RequestLog;
}

/** Sums over the responses of one round: as many as the limit allows at once. */
interface Round {
    readonly size: number;
    /** Responses that do not count, because their requests were sent while another limit was in force. */
    skipped: number;
    ended: number;
    failed: number;
    open: number;
    slowness: number;
}

/** Last round whose throughput is known, as an estimate by Little's law. */
interface MeasuredRound {
    readonly limit: number;
    readonly throughput: number;
}

interface UsualTime {
    readonly meanMs: number;
    readonly responses: number;
}

interface Ramp {
    readonly cause: string;
    readonly startedAtMs: number;
    /** End of the last round in which too many requests failed, or the begin. */
    lastFailureAtMs: number;
    limit: number;
    hasResponse: boolean;
    round: Round;
    measured: MeasuredRound | undefined;
    /** Whether the limit grows in small steps, because a higher one gave no more throughput or requests failed. */
    isCautious: boolean;
    /** Rounds for which the limit is kept before the next step. */
    heldRounds: number;
}

/** A server that starts once reaches its full limit within two rounds of good responses. */
const FIRST_FRACTION = 0.5;
/** A server that starts again soon begins with half of the fraction of its start before, down to this one. */
const LEAST_FRACTION = 0.125;
/** Time within which a start follows another one so that the server counts as flapping. */
const FLAPPING_MS = 30_000;
/** Limit that is never reduced: with one request at a time, a round of slow responses would take too long. */
const LEAST_LIMIT = 2;
const LEAST_ROUND = 4;
/** Mean service time over the usual one above which a round counts as slow; below it, it may be chance. */
const SLOW_RATIO = 1.5;
const SLOW_GROWTH = 1.25;
/** Part of the growth of the limit that has to show in the throughput. */
const REQUIRED_GAIN = 0.5;
const HELD_ROUNDS = 4;
/** Fraction of the limit that has to be in use before throughput says something about it. */
const USED_FRACTION = 0.7;
/** Responses from which the usual service time of a route is learned where none is known, as after a start of the node. */
const LEARNED_RESPONSES = 8;
/** Fraction of failed requests that reduces the limit; single ones may be the fault of the request. */
const FAILED_FRACTION = 0.1;
const FAILURE_FACTOR = 0.5;
/** After this time without failures, the service times of the server count as its usual ones. */
const LONGEST_RAMP_MS = 30_000;
/** Weight of the newest service time in the usual service time of its route. */
const SMOOTHING_FACTOR = 0.05;

/** Limit of a server that has started or recovered. */
export class SlowStart {
    private ramp: Ramp | undefined;
    private slots = 1;
    private nextFraction = FIRST_FRACTION;
    private lastBeginAtMs = -Infinity;
    /** Usual service time of each route; recorded outside ramps, and in a ramp only until it is known. */
    private readonly usual = new Map<string, UsualTime>();

    private constructor(private readonly options: SlowStartOptions) {}

    static create(options: SlowStartOptions): SlowStart {
        return new SlowStart(options);
    }

    /** Requests that may be at the server at once; the slots when no ramp limits them. */
    get limit(): number {
        return this.ramp ? Math.max(1, Math.min(this.slots, Math.floor(this.ramp.limit))) : this.slots;
    }

    /** Whether the server has yet to show that it takes its full load. */
    get isRamping(): boolean {
        return this.ramp !== undefined;
    }

    /** Sets the number of requests that the server may run at once. */
    setSlots(slots: number): void {
        this.slots = slots;
    }

    /**
     * Begins a ramp, as the server has started or recovered. Several signs of one start arrive one after another: while
     * no response has arrived since the one before, they are taken for one.
     */
    begin(cause: string): void {
        if (this.ramp && !this.ramp.hasResponse) {
            return;
        }
        const nowMs = this.options.clock.nowMs();
        const isFlapping = nowMs - this.lastBeginAtMs < FLAPPING_MS;
        this.nextFraction = isFlapping ? Math.max(LEAST_FRACTION, this.nextFraction / 2) : FIRST_FRACTION;
        this.lastBeginAtMs = nowMs;
        const limit = Math.max(LEAST_LIMIT, Math.ceil(this.slots * this.nextFraction));
        if (limit >= this.slots) {
            this.ramp = undefined;
            return;
        }
        this.ramp = {
            cause,
            startedAtMs: nowMs,
            lastFailureAtMs: nowMs,
            limit,
            hasResponse: false,
            round: createRound(limit, 0),
            measured: undefined,
            isCautious: false,
            heldRounds: 0,
        };
        this.options.log?.decision("slow-start", { cause, limit, slots: this.slots });
    }

    /** Records the end of a request at the server; returns whether the limit has changed. */
    record(result: ServerRunResult): boolean {
        const { ramp } = this;
        if (!ramp) {
            if (result.serviceMs !== undefined) {
                this.recordUsual(result.route, result.serviceMs);
            }
            return false;
        }
        const before = this.limit;
        this.recordInRamp(ramp, result);
        return this.limit !== before;
    }

    private recordUsual(route: string, serviceMs: number): void {
        const { meanMs, responses } = this.usual.get(route) ?? { meanMs: serviceMs, responses: 0 };
        const weight = Math.max(SMOOTHING_FACTOR, 1 / (responses + 1));
        this.usual.set(route, { meanMs: meanMs + (serviceMs - meanMs) * weight, responses: responses + 1 });
    }

    private recordInRamp(ramp: Ramp, { route, serviceMs, open }: ServerRunResult): void {
        const { round } = ramp;
        ramp.hasResponse ||= serviceMs !== undefined;
        if (serviceMs !== undefined && round.skipped > 0) {
            round.skipped--;
            return;
        }
        round.ended++;
        round.open += open;
        if (serviceMs === undefined) {
            round.failed++;
        }
        else {
            const slowness = this.slownessOf(route, serviceMs);
            round.slowness += slowness;
            const growth = slowness <= SLOW_RATIO && !ramp.isCautious ? 1 : 0;
            ramp.limit = Math.min(this.slots, ramp.limit + growth);
        }
        const hasFailed = round.failed > Math.max(1, round.size * FAILED_FRACTION);
        if (hasFailed || round.ended >= round.size) {
            this.endRound(ramp, hasFailed, open);
        }
        if (this.options.clock.nowMs() - ramp.lastFailureAtMs >= LONGEST_RAMP_MS) {
            this.endRamp(ramp);
        }
    }

    /** Service time over the usual one of the route; 1 until that is known. */
    private slownessOf(route: string, serviceMs: number): number {
        const usual = this.usual.get(route);
        if (!usual || usual.responses < LEARNED_RESPONSES) {
            this.recordUsual(route, serviceMs);
            return 1;
        }
        return serviceMs / Math.max(1, usual.meanMs);
    }

    private endRound(ramp: Ramp, hasFailed: boolean, open: number): void {
        const { round } = ramp;
        const succeeded = round.ended - round.failed;
        const slowness = succeeded > 0 ? round.slowness / succeeded : SLOW_RATIO;
        const meanOpen = round.open / round.ended;
        if (hasFailed) {
            this.stepBack(ramp, ramp.limit * FAILURE_FACTOR);
            ramp.measured = undefined;
            ramp.lastFailureAtMs = this.options.clock.nowMs();
        }
        else if (slowness <= SLOW_RATIO && !ramp.isCautious) {
            ramp.measured = { limit: round.size, throughput: meanOpen / slowness };
            // Only a round at the full limit shows that the server takes it.
            if (round.size >= this.slots) {
                this.endRamp(ramp);
            }
        }
        else {
            this.endCautiousRound(ramp, meanOpen / slowness, meanOpen >= round.size * USED_FRACTION);
        }
        ramp.round = createRound(ramp.limit, open);
    }

    /** Keeps a higher limit only if it gave more throughput: else the server only works on more at once. */
    private endCautiousRound(ramp: Ramp, throughput: number, isUsed: boolean): void {
        if (ramp.heldRounds > 0) {
            ramp.heldRounds--;
            return;
        }
        const { measured } = ramp;
        const growth = measured ? ramp.limit / measured.limit - 1 : 0;
        if (measured && isUsed && growth > 0 && throughput < measured.throughput * (1 + growth * REQUIRED_GAIN)) {
            this.stepBack(ramp, measured.limit);
            return;
        }
        if (ramp.round.size >= this.slots) {
            this.endRamp(ramp);
        }
        ramp.measured = { limit: ramp.limit, throughput };
        ramp.limit = Math.min(this.slots, ramp.limit * SLOW_GROWTH);
    }

    private stepBack(ramp: Ramp, limit: number): void {
        ramp.limit = Math.max(LEAST_LIMIT, limit);
        ramp.isCautious = true;
        ramp.heldRounds = HELD_ROUNDS;
    }

    private endRamp({ cause, startedAtMs }: Ramp): void {
        this.ramp = undefined;
        const tookMs = Math.round(this.options.clock.nowMs() - startedAtMs);
        this.options.log?.decision("slow-start-ended", { cause, tookMs, slots: this.slots });
    }
}

function createRound(limit: number, skipped: number): Round {
    return { size: Math.max(LEAST_ROUND, Math.floor(limit)), skipped, ended: 0, failed: 0, open: 0, slowness: 0 };
}
