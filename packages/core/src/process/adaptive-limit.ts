/**
 * Adaptive concurrency limit: finds how many requests a backend server can run at once without contention.
 */
import type { Clock } from "./clock.js";

const WINDOW_MS = 100;
const MINIMUM_WINDOW_SAMPLES = 8;
/** Latency above `baseline * SLOWDOWN_RATIO + SLOWDOWN_MARGIN_MS` starts a probe of a lower limit. */
const SLOWDOWN_RATIO = 1.5;
const SLOWDOWN_MARGIN_MS = 5;
const DECREASE_RATIO = 0.85;
/** Fraction of the previous throughput that a lower limit has to reach to be kept. */
const MINIMUM_KEPT_THROUGHPUT_RATIO = 0.95;
/** Fraction of the limit that has to be in flight on average for the limit to be probed. */
const SATURATION_RATIO = 0.9;
const INCREASE_RATIO = 1.25;
/** Throughput growth, as a fraction of the relative increase of the limit, that a higher limit needs to be kept. */
const MINIMUM_THROUGHPUT_GAIN_FRACTION = 0.5;
/** Time from a failed probe of a lower limit to the next probe in either direction. */
const DECREASE_PROBE_INTERVAL_MS = 3_000;
/** Time from a failed probe of a higher limit to the next probe in either direction. */
const INCREASE_PROBE_INTERVAL_MS = 1_000;
/** Fraction of the distance to a higher observed latency by which the baseline rises in each window. */
const BASELINE_RISE_WEIGHT = 0.02;

/** Mean values over one measurement window. */
interface WindowMeans {
    readonly latencyMs: number;
    readonly inFlight: number;
    /** Completions per millisecond, derived from requests in flight and latency (Little's law). */
    readonly throughput: number;
    readonly isSaturated: boolean;
}

type ProbeState =
    | { readonly kind: "steady"; }
    /** Skips the first window after a change, because it still contains requests that ran under the previous limit. */
    | { readonly kind: "settling"; readonly before: WindowMeans; readonly limit: number; }
    /** Compares throughput under the new limit with throughput under the previous one. */
    | { readonly kind: "comparing"; readonly before: WindowMeans; readonly limit: number; };

/**
 * Probes lower and higher limits and keeps a change depending on its effect on throughput.
 *
 * Latency alone does not distinguish a contended server, where a lower limit keeps the throughput, from a server whose
 * requests take longer, where a lower limit reduces it. Therefore latency above its baseline only starts a probe of a
 * lower limit, which is kept if throughput holds; a higher limit is kept if throughput grows with it.
 */
export class AdaptiveLimit {
    private limit: number;
    private state: ProbeState = { kind: "steady" };
    private baselineMs: number | undefined;
    private nextProbeAtMs = -Infinity;
    private windowStartMs: number;
    private samples = 0;
    private latencySumMs = 0;
    private inFlightSum = 0;

    private constructor(private readonly clock: Clock, private maximumLimit: number) {
        this.limit = maximumLimit;
        this.windowStartMs = clock.nowMs();
    }

    static create(clock: Clock, options: { slots: number; }): AdaptiveLimit {
        return new AdaptiveLimit(clock, options.slots);
    }

    /** Number of requests that may currently run at once. */
    get current(): number {
        return this.limit;
    }

    /** Sets the published number of slots, which the limit never exceeds; a change resets the limit to it. */
    setSlots(slots: number): void {
        if (slots !== this.maximumLimit) {
            this.maximumLimit = slots;
            this.limit = slots;
            this.state = { kind: "steady" };
        }
    }

    /** Records a completed run: its latency without downstream calls, and the requests in flight when it started. */
    record(latencyMs: number, inFlight: number): void {
        this.samples++;
        this.latencySumMs += latencyMs;
        this.inFlightSum += inFlight;
        const isWindowComplete = this.samples >= Math.max(MINIMUM_WINDOW_SAMPLES, this.limit) &&
            this.clock.nowMs() - this.windowStartMs >= WINDOW_MS;
        if (isWindowComplete) {
            const means = this.closeWindow();
            this.state = this.nextState(means);
        }
    }

    private closeWindow(): WindowMeans {
        const latencyMs = this.latencySumMs / this.samples;
        const inFlight = this.inFlightSum / this.samples;
        this.samples = 0;
        this.latencySumMs = 0;
        this.inFlightSum = 0;
        this.windowStartMs = this.clock.nowMs();
        return {
            latencyMs,
            inFlight,
            throughput: inFlight / Math.max(latencyMs, Number.EPSILON),
            isSaturated: inFlight >= this.limit * SATURATION_RATIO,
        };
    }

    private nextState(means: WindowMeans): ProbeState {
        switch (this.state.kind) {
            case "steady":
                return this.evaluateSteadyWindow(means);
            case "settling":
                return { ...this.state, kind: "comparing" };
            case "comparing":
                return this.evaluateProbe(means, this.state.before, this.state.limit);
        }
    }

    private evaluateSteadyWindow(means: WindowMeans): ProbeState {
        const baselineMs = this.updateBaseline(means.latencyMs);
        const mayProbe = means.isSaturated && this.clock.nowMs() >= this.nextProbeAtMs;
        if (!mayProbe) {
            return { kind: "steady" };
        }
        const isSlower = means.latencyMs > baselineMs * SLOWDOWN_RATIO + SLOWDOWN_MARGIN_MS;
        if (isSlower && this.limit > 1) {
            return this.probeLimit(Math.min(this.limit - 1, Math.ceil(this.limit * DECREASE_RATIO)), means);
        }
        if (!isSlower && this.limit < this.maximumLimit) {
            return this.probeLimit(Math.min(this.maximumLimit, Math.ceil(this.limit * INCREASE_RATIO)), means);
        }
        return { kind: "steady" };
    }

    private probeLimit(limit: number, before: WindowMeans): ProbeState {
        const state = { kind: "settling", before, limit: this.limit } as const;
        this.limit = limit;
        return state;
    }

    private evaluateProbe(means: WindowMeans, before: WindowMeans, limitBefore: number): ProbeState {
        const changeRatio = this.limit / limitBefore;
        const expectedRatio = changeRatio > 1 ?
            1 + (changeRatio - 1) * MINIMUM_THROUGHPUT_GAIN_FRACTION :
            MINIMUM_KEPT_THROUGHPUT_RATIO;
        if (means.throughput >= before.throughput * expectedRatio) {
            return this.evaluateSteadyWindow(means);
        }
        this.limit = Math.min(this.maximumLimit, limitBefore);
        if (changeRatio < 1) {
            this.baselineMs = Math.max(before.latencyMs, means.latencyMs);
        }
        this.nextProbeAtMs = this.clock.nowMs() +
            (changeRatio < 1 ? DECREASE_PROBE_INTERVAL_MS : INCREASE_PROBE_INTERVAL_MS);
        return { kind: "steady" };
    }

    private updateBaseline(latencyMs: number): number {
        const baselineMs = this.baselineMs ?? latencyMs;
        this.baselineMs = latencyMs < baselineMs ?
            latencyMs :
            baselineMs + (latencyMs - baselineMs) * BASELINE_RISE_WEIGHT;
        return this.baselineMs;
    }
}
