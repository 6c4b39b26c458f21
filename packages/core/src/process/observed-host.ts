/**
 * Statistics of the requests that a node sent to one host, for load balancing.
 */
import type { Clock } from "./clock.js";
import type { LocalLoad } from "./concurrency-limiter.js";
import { decayFactor } from "./half-life.js";
import type { AttemptOutcome, PendingAttempt } from "./load-balancer.js";

/** Weight of the latest latency in the moving average. */
const LATENCY_WEIGHT = 0.2;
/** Half-life of a latency while no response arrives, so that a host that was slow once is tried again. */
const LATENCY_HALF_LIFE_MS = 2_000;
/** Time for which a load that a host reported, or a refusal, is taken into account. */
const LOAD_VALID_MS = 250;
/**
 * Time without a response after which a host may be considered unresponsive; granted once for the host itself and once
 * for each level of downstream calls, in addition to a multiple of the latency.
 */
const MINIMUM_RESPONSE_TIMEOUT_MS = 600;
const RESPONSE_TIMEOUT_LATENCY_RATIO = 4;
/** Factor by which the largest downstream depth decays with each response. */
const DOWNSTREAM_DEPTH_DECAY = 0.95;
/** Time after which an unresponsive host with no request in flight is tried again with any request. */
const UNRESPONSIVE_EXPIRY_MS = 10_000;
/** Interval between requests to an unresponsive host that probe whether it responds again. */
const PROBE_INTERVAL_MS = 4_000;
/** Time over which a new or recovered host goes from the initial fraction of its share to the full share. */
const RAMP_UP_MS = 5_000;
const INITIAL_RAMP_UP_FRACTION = 0.1;
/** Limit of a host that has not reported one. */
const DEFAULT_LIMIT = 16;
/** Time since the last response after which a host with no request in flight is ramped up again. */
const RAMP_UP_IDLE_MS = 10_000;
/** Increase of the cost right after a refusal, as a factor; it decays exponentially. */
const REFUSAL_COST_FACTOR = 4;
const REFUSAL_DECAY_MS = 500;

/** Tracks requests in flight, latency, refusals and responsiveness of one host. */
export class ObservedHost {
    /** Start of each request in flight, by number; the oldest comes first. */
    private readonly inFlight = new Map<number, number>();
    private nextAttemptNumber = 0;
    private latencyMs = 0;
    /** Levels of downstream calls that requests on the host make; each level may wait for an unresponsive host. */
    private downstreamDepth = 0;
    private load: LocalLoad | undefined;
    /** Requests of this node in flight when the load was reported, which are included in it. */
    private inFlightAtLoadReport = 0;
    private loadReportedAtMs = -Infinity;
    /** Time of the last refusal or failed connection. */
    private lastRefusalMs = -Infinity;
    private lastResponseMs: number;
    private lastProbeMs = -Infinity;
    private rampUpStartMs: number;
    private unresponsive = false;
    private unresponsiveAtMs = -Infinity;

    private constructor(private readonly clock: Clock) {
        this.lastResponseMs = clock.nowMs();
        this.rampUpStartMs = clock.nowMs();
    }

    static create(clock: Clock): ObservedHost {
        return new ObservedHost(clock);
    }

    /** Records that a request was sent. */
    start(): PendingAttempt {
        const nowMs = this.clock.nowMs();
        const number = this.nextAttemptNumber++;
        if (this.isUnresponsive()) {
            this.lastProbeMs = nowMs;
        }
        else if (nowMs - this.lastResponseMs > RAMP_UP_IDLE_MS && this.inFlight.size === 0) {
            this.rampUpStartMs = nowMs;
        }
        this.inFlight.set(number, nowMs);
        let ended = false;
        return {
            end: outcome => {
                if (!ended) {
                    ended = true;
                    this.inFlight.delete(number);
                    this.end(nowMs, outcome);
                }
            },
            pause: () => this.inFlight.delete(number),
            resume: () => {
                if (!ended) {
                    this.inFlight.set(number, this.clock.nowMs());
                }
            },
            isHostUnresponsive: () => this.isUnresponsive() && this.clock.nowMs() - nowMs > this.responseTimeoutMs(),
        };
    }

    /** Whether requests have been in flight without any response for longer than the response timeout. */
    isUnresponsive(): boolean {
        const oldestMs = this.inFlight.values().next().value;
        if (oldestMs !== undefined) {
            const waitingSinceMs = Math.max(oldestMs, this.lastResponseMs);
            if (this.clock.nowMs() - waitingSinceMs > this.responseTimeoutMs()) {
                this.unresponsive = true;
                this.unresponsiveAtMs = this.clock.nowMs();
            }
        }
        else if (this.unresponsive && this.clock.nowMs() - this.unresponsiveAtMs > UNRESPONSIVE_EXPIRY_MS) {
            this.unresponsive = false;
            this.rampUpStartMs = this.clock.nowMs();
        }
        return this.unresponsive;
    }

    /** Whether an unresponsive host should receive one request that probes whether it responds again. */
    isProbeDue(): boolean {
        return this.isUnresponsive() && this.clock.nowMs() - this.lastProbeMs > PROBE_INTERVAL_MS;
    }

    /** Whether the host is expected to accept a request, as far as is known. */
    hasCapacity(): boolean {
        const nowMs = this.clock.nowMs();
        if (this.isUnresponsive() || nowMs - this.lastRefusalMs < LOAD_VALID_MS) {
            return false;
        }
        const load = this.load;
        return !load || nowMs - this.loadReportedAtMs > LOAD_VALID_MS || load.queued === 0;
    }

    /** Cost of a further request: the utilization of the host's slots, higher if it is slow, has refused or is new. */
    cost(): number {
        const nowMs = this.clock.nowMs();
        const refusal = 1 + REFUSAL_COST_FACTOR * Math.exp((this.lastRefusalMs - nowMs) / REFUSAL_DECAY_MS);
        const ramp = Math.min(1, INITIAL_RAMP_UP_FRACTION + (nowMs - this.rampUpStartMs) / RAMP_UP_MS);
        const limit = Math.max(1, this.load?.limit ?? DEFAULT_LIMIT);
        return (this.estimatedLoad() + 1) / limit * Math.sqrt(this.currentLatencyMs(nowMs) + 1) * refusal / ramp;
    }

    /** Average latency, decayed with the time since the last response. */
    private currentLatencyMs(nowMs: number): number {
        return this.latencyMs * decayFactor(nowMs - this.lastResponseMs, LATENCY_HALF_LIFE_MS);
    }

    /** Requests of this node in flight, plus those of other senders if the host reported its load recently. */
    private estimatedLoad(): number {
        if (!this.load || this.clock.nowMs() - this.loadReportedAtMs > LOAD_VALID_MS) {
            return this.inFlight.size;
        }
        const ofOtherSenders = this.load.inFlight + this.load.queued - this.inFlightAtLoadReport;
        return this.inFlight.size + Math.max(0, ofOtherSenders);
    }

    private end(startMs: number, outcome: AttemptOutcome): void {
        const nowMs = this.clock.nowMs();
        switch (outcome.kind) {
            case "answered":
                this.latencyMs += (nowMs - startMs - this.latencyMs) * LATENCY_WEIGHT;
                this.downstreamDepth = Math.max(
                    outcome.downstreamDepth ?? 0,
                    this.downstreamDepth * DOWNSTREAM_DEPTH_DECAY,
                );
                this.recordResponse(nowMs, outcome.load);
                return;
            case "refused":
                this.lastRefusalMs = nowMs;
                this.recordLoad(nowMs, outcome.load);
                return;
            case "failed":
                this.lastRefusalMs = nowMs;
                return;
            case "abandoned":
                return;
        }
    }

    private recordResponse(nowMs: number, load: LocalLoad | undefined): void {
        if (this.unresponsive) {
            this.unresponsive = false;
            this.rampUpStartMs = nowMs;
        }
        this.lastResponseMs = nowMs;
        this.recordLoad(nowMs, load);
    }

    private recordLoad(nowMs: number, load: LocalLoad | undefined): void {
        if (load) {
            this.load = load;
            this.loadReportedAtMs = nowMs;
            this.inFlightAtLoadReport = this.inFlight.size;
        }
    }

    /** Time without a response after which the host is considered unresponsive, in milliseconds. */
    private responseTimeoutMs(): number {
        return MINIMUM_RESPONSE_TIMEOUT_MS * (1 + this.downstreamDepth) +
            RESPONSE_TIMEOUT_LATENCY_RATIO * this.latencyMs;
    }
}
