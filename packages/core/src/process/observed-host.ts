/**
 * What a node observed of the requests that it sent to one host.
 */
import type { Clock } from "./clock.js";
import type { LocalLoad } from "./concurrency-limiter.js";
import { decayFactor } from "./half-life.js";
import type { AttemptOutcome, PendingAttempt } from "./load-balancer.js";

const LATENCY_WEIGHT = 0.2;
/** Time without answers in which a latency halves for the choice, so that a host that was slow once is tried again. */
const LATENCY_HALF_LIFE_MS = 2_000;
/** Time for which a load that a host told is believed. */
const LOAD_VALID_MS = 250;
/** Silence that is never taken for hanging, for the host itself and each call below it, beside the latency. */
const SILENCE_AT_LEAST_MS = 600;
const SILENCE_LATENCY_RATIO = 4;
const CALLS_BELOW_FADE = 0.95;
/** Time after which a host that hung and has nothing open is tried again by any request. */
const SILENT_VALID_MS = 10_000;
const PROBE_INTERVAL_MS = 4_000;
/** Time over which a new or returned host goes from a small part of its share to the whole. */
const RAMP_UP_MS = 5_000;
const RAMP_UP_START = 0.1;
/** Limit of a host that has not told one. */
const LIMIT_UNKNOWN = 16;
const RAMP_UP_ABSENCE_MS = 10_000;
const REFUSAL_COST = 4;
const REFUSAL_FADE_MS = 500;

/** Requests in flight, latency, refusals and silence of one host. */
export class ObservedHost {
    private readonly open = new Map<number, number>();
    private nextNumber = 0;
    private latencyMs = 0;
    /** Calls that requests on the host make one under the other; each may itself wait for a host that hangs. */
    private callsBelow = 0;
    private load: LocalLoad | undefined;
    /** Own open requests when the load was told, which are part of it. */
    private openAtLoad = 0;
    private loadAtMs = -Infinity;
    private refusedAtMs = -Infinity;
    private lastAnswerMs: number;
    private lastProbeMs = -Infinity;
    private rampStartMs: number;
    private silent = false;
    private silentAtMs = -Infinity;

    private constructor(private readonly clock: Clock) {
        this.lastAnswerMs = clock.nowMs();
        this.rampStartMs = clock.nowMs();
    }

    static create(clock: Clock): ObservedHost {
        return new ObservedHost(clock);
    }

    /** Records that a request was sent. */
    start(): PendingAttempt {
        const nowMs = this.clock.nowMs();
        const number = this.nextNumber++;
        if (this.isUnresponsive()) {
            this.lastProbeMs = nowMs;
        }
        else if (nowMs - this.lastAnswerMs > RAMP_UP_ABSENCE_MS && this.open.size === 0) {
            this.rampStartMs = nowMs;
        }
        this.open.set(number, nowMs);
        let ended = false;
        return {
            end: outcome => {
                if (!ended) {
                    ended = true;
                    this.open.delete(number);
                    this.end(nowMs, outcome);
                }
            },
            pause: () => this.open.delete(number),
            resume: () => {
                if (!ended) {
                    this.open.set(number, this.clock.nowMs());
                }
            },
            isHostUnresponsive: () => this.isUnresponsive() && this.clock.nowMs() - nowMs > this.allowedSilenceMs(),
        };
    }

    /** Whether requests have been open without any answer for longer than the latency explains. */
    isUnresponsive(): boolean {
        const oldestMs = this.open.values().next().value;
        if (oldestMs !== undefined) {
            const silentSinceMs = Math.max(oldestMs, this.lastAnswerMs);
            if (this.clock.nowMs() - silentSinceMs > this.allowedSilenceMs()) {
                this.silent = true;
                this.silentAtMs = this.clock.nowMs();
            }
        }
        else if (this.silent && this.clock.nowMs() - this.silentAtMs > SILENT_VALID_MS) {
            this.silent = false;
            this.rampStartMs = this.clock.nowMs();
        }
        return this.silent;
    }

    /** Whether a host that hangs should get one request to show whether it still does. */
    isProbeDue(): boolean {
        return this.isUnresponsive() && this.clock.nowMs() - this.lastProbeMs > PROBE_INTERVAL_MS;
    }

    /** Whether the host takes a request without refusing it, as far as is known. */
    hasCapacity(): boolean {
        const nowMs = this.clock.nowMs();
        if (this.isUnresponsive() || nowMs - this.refusedAtMs < LOAD_VALID_MS) {
            return false;
        }
        const load = this.load;
        return !load || nowMs - this.loadAtMs > LOAD_VALID_MS || load.queued === 0;
    }

    /** Cost of a further request: the use of the host's slots, higher for hosts that are slow, refused or are new. */
    cost(): number {
        const nowMs = this.clock.nowMs();
        const refusal = 1 + REFUSAL_COST * Math.exp((this.refusedAtMs - nowMs) / REFUSAL_FADE_MS);
        const ramp = Math.min(1, RAMP_UP_START + (nowMs - this.rampStartMs) / RAMP_UP_MS);
        const limit = Math.max(1, this.load?.limit ?? LIMIT_UNKNOWN);
        return (this.busy() + 1) / limit * Math.sqrt(this.currentLatencyMs(nowMs) + 1) * refusal / ramp;
    }

    /** Latency as far as it still says something about the next request. */
    private currentLatencyMs(nowMs: number): number {
        return this.latencyMs * decayFactor(nowMs - this.lastAnswerMs, LATENCY_HALF_LIFE_MS);
    }

    /** Own requests in flight, and what the host told of those of others while that is new. */
    private busy(): number {
        if (!this.load || this.clock.nowMs() - this.loadAtMs > LOAD_VALID_MS) {
            return this.open.size;
        }
        const ofOthers = this.load.inFlight + this.load.queued - this.openAtLoad;
        return this.open.size + Math.max(0, ofOthers);
    }

    private end(startMs: number, outcome: AttemptOutcome): void {
        const nowMs = this.clock.nowMs();
        switch (outcome.kind) {
            case "answered":
                this.latencyMs += (nowMs - startMs - this.latencyMs) * LATENCY_WEIGHT;
                this.callsBelow = Math.max(outcome.downstreamDepth ?? 0, this.callsBelow * CALLS_BELOW_FADE);
                this.recordAnswer(nowMs, outcome.load);
                return;
            case "refused":
                this.refusedAtMs = nowMs;
                this.recordLoad(nowMs, outcome.load);
                return;
            case "failed":
                this.refusedAtMs = nowMs;
                return;
            case "abandoned":
                return;
        }
    }

    private recordAnswer(nowMs: number, load: LocalLoad | undefined): void {
        if (this.silent) {
            this.silent = false;
            this.rampStartMs = nowMs;
        }
        this.lastAnswerMs = nowMs;
        this.recordLoad(nowMs, load);
    }

    private recordLoad(nowMs: number, load: LocalLoad | undefined): void {
        if (load) {
            this.load = load;
            this.loadAtMs = nowMs;
            this.openAtLoad = this.open.size;
        }
    }

    private allowedSilenceMs(): number {
        return SILENCE_AT_LEAST_MS * (1 + this.callsBelow) + SILENCE_LATENCY_RATIO * this.latencyMs;
    }
}
