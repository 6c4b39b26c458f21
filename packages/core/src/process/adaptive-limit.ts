/**
 * Finds how many requests a backend server runs at once without them slowing each other down.
 */
import type { Clock } from "./clock.js";

const WINDOW_MS = 100;
const WINDOW_SAMPLES_AT_LEAST = 8;
const SLOWER_RATIO = 1.5;
const SLOWER_MS = 5;
const LOWERED_RATIO = 0.85;
const THROUGHPUT_KEPT_RATIO = 0.95;
const SATURATED_RATIO = 0.9;
const RAISED_RATIO = 1.25;
/** Part of the raise of the limit by which throughput has to grow for the raise to be kept. */
const THROUGHPUT_GAINED_PART = 0.5;
/** Time after a trial that failed until the next. */
const LOWER_TRIAL_INTERVAL_MS = 3_000;
const RAISE_TRIAL_INTERVAL_MS = 1_000;
/** Part of the distance to the observed latency that the baseline moves up in each window. */
const BASELINE_AGEING = 0.02;

/** What one window of observation showed. */
interface WindowMeans {
    readonly latencyMs: number;
    readonly inFlight: number;
    /** Completions per millisecond, from requests in flight and latency (Little's law). */
    readonly throughput: number;
    readonly isSaturated: boolean;
}

type State =
    | { readonly kind: "steady"; }
    /** The first window after a change still holds requests of the old limit. */
    | { readonly kind: "settling"; readonly before: WindowMeans; readonly limit: number; }
    /** Compares the new limit with the one before. */
    | { readonly kind: "comparing"; readonly before: WindowMeans; readonly limit: number; };

/**
 * Changes the limit by trial and keeps a change by its effect on throughput.
 *
 * Latency alone cannot tell a server that is contended, where fewer requests at once do as much work, from one whose
 * requests just take longer, where fewer at once do less. So latency over its baseline only starts a trial of a lower
 * limit, which is kept if throughput holds; a higher limit is kept if throughput grows with it.
 */
export class AdaptiveLimit {
    private limit: number;
    private state: State = { kind: "steady" };
    private baselineMs: number | undefined;
    private nextTrialAtMs = -Infinity;
    private windowStartMs: number;
    private samples = 0;
    private latencySumMs = 0;
    private inFlightSum = 0;

    private constructor(private readonly clock: Clock, private ceiling: number) {
        this.limit = ceiling;
        this.windowStartMs = clock.nowMs();
    }

    static create(clock: Clock, options: { slots: number; }): AdaptiveLimit {
        return new AdaptiveLimit(clock, options.slots);
    }

    /** Requests that may run at once now. */
    get current(): number {
        return this.limit;
    }

    /** Changes the published number of slots, which the limit never exceeds. */
    setSlots(slots: number): void {
        if (slots !== this.ceiling) {
            this.ceiling = slots;
            this.limit = slots;
            this.state = { kind: "steady" };
        }
    }

    /** Records the end of a run: its time without onward calls, and how many ran when it started. */
    record(latencyMs: number, inFlight: number): void {
        this.samples++;
        this.latencySumMs += latencyMs;
        this.inFlightSum += inFlight;
        const isWhole = this.samples >= Math.max(WINDOW_SAMPLES_AT_LEAST, this.limit) &&
            this.clock.nowMs() - this.windowStartMs >= WINDOW_MS;
        if (isWhole) {
            const means = this.closeWindow();
            this.state = this.next(means);
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
            isSaturated: inFlight >= this.limit * SATURATED_RATIO,
        };
    }

    private next(means: WindowMeans): State {
        switch (this.state.kind) {
            case "steady":
                return this.observe(means);
            case "settling":
                return { ...this.state, kind: "comparing" };
            case "comparing":
                return this.compare(means, this.state.before, this.state.limit);
        }
    }

    private observe(means: WindowMeans): State {
        const baselineMs = this.updateBaseline(means.latencyMs);
        const mayTry = means.isSaturated && this.clock.nowMs() >= this.nextTrialAtMs;
        if (!mayTry) {
            return { kind: "steady" };
        }
        const isSlower = means.latencyMs > baselineMs * SLOWER_RATIO + SLOWER_MS;
        if (isSlower && this.limit > 1) {
            return this.tryLimit(Math.min(this.limit - 1, Math.ceil(this.limit * LOWERED_RATIO)), means);
        }
        if (!isSlower && this.limit < this.ceiling) {
            return this.tryLimit(Math.min(this.ceiling, Math.ceil(this.limit * RAISED_RATIO)), means);
        }
        return { kind: "steady" };
    }

    private tryLimit(limit: number, before: WindowMeans): State {
        const state = { kind: "settling", before, limit: this.limit } as const;
        this.limit = limit;
        return state;
    }

    private compare(means: WindowMeans, before: WindowMeans, limitBefore: number): State {
        const change = this.limit / limitBefore;
        const expected = change > 1 ? 1 + (change - 1) * THROUGHPUT_GAINED_PART : THROUGHPUT_KEPT_RATIO;
        if (means.throughput >= before.throughput * expected) {
            return this.observe(means);
        }
        this.limit = Math.min(this.ceiling, limitBefore);
        if (change < 1) {
            this.baselineMs = Math.max(before.latencyMs, means.latencyMs);
        }
        this.nextTrialAtMs = this.clock.nowMs() + (change < 1 ? LOWER_TRIAL_INTERVAL_MS : RAISE_TRIAL_INTERVAL_MS);
        return { kind: "steady" };
    }

    private updateBaseline(latencyMs: number): number {
        const baselineMs = this.baselineMs ?? latencyMs;
        this.baselineMs = latencyMs < baselineMs ?
            latencyMs :
            baselineMs + (latencyMs - baselineMs) * BASELINE_AGEING;
        return this.baselineMs;
    }
}
