/**
 * Admission window of one flow: limits the requests that the flow has in flight in the call graph.
 */
import type { Importance } from "../version/configuration.js";
import type { Clock } from "./clock.js";
import type { ChainOutcome } from "./entry-admission.js";

/** Target pressure that the window is adapted to, by importance; highest for critical flows, which are limited last. */
const targetPressures: Readonly<Record<Importance, number>> = { background: 0.3, normal: 0.65, critical: 0.9 };
/** Requests that a response without pressure adds to the window; it grows by this fraction per response time. */
const GROWTH_PER_RESPONSE = 0.12;
/** Maximum factor of faster growth; the factor is the number of response times since pressure was last reported. */
const MAXIMUM_CALM_GROWTH_FACTOR = 4;
/** Pressure up to which a response does not count as reporting pressure. */
const CALM_PRESSURE = 0.1;
/** Requests by which a refusal shrinks the window when the organisation used its full share of the queue. */
const DECREASE_PER_REFUSAL = 0.5;
/** Initial window size, as a fraction of the requests in flight when limiting starts. */
const INITIAL_SIZE_RATIO = 0.5;
const RESPONSE_TIME_WEIGHT = 0.1;
const PRESSURE_WEIGHT = 0.3;
const MINIMUM_WINDOW = 0.05;
/** Size below which only refusals shrink the window, because a small flow within its share may wait long in queues. */
const SMALL_WINDOW = 2;
/** Time without an admitted request after which one is admitted as a probe, regardless of the window size. */
const PROBE_INTERVAL_MS = 1_000;
/** Time without a refusal by the window and without pressure after which the limit is removed. */
const WINDOW_EXPIRY_MS = 2_000;
/** Shortest time after a refusal by the window during which the window counts as in use and may grow. */
const MINIMUM_IN_USE_MS = 200;
/** Minimum response time for the spacing of requests, because refusals are returned almost immediately. */
const MINIMUM_SPACING_RESPONSE_MS = 50;
const MINIMUM_RETRY_AFTER_MS = 500;
const MAXIMUM_RETRY_AFTER_MS = 5_000;

/** Window of one flow; unlimited until responses report pressure. */
export class EntryWindow {
    private size: number | undefined;
    private open = 0;
    private meanPressure = 0;
    private service = "";
    private meanResponseMs = 0;
    private lastAdmittedAtMs: number;
    private lastRefusedAtMs = -Infinity;
    private consecutiveRefusals = 0;
    private lastPressureAtMs: number;

    private constructor(private readonly clock: Clock, private readonly importance: Importance) {
        this.lastAdmittedAtMs = clock.nowMs();
        this.lastPressureAtMs = clock.nowMs();
    }

    static create(clock: Clock, importance: Importance): EntryWindow {
        return new EntryWindow(clock, importance);
    }

    /** Service that most recently reported pressure. */
    get bottleneckService(): string {
        return this.service;
    }

    /** Time since the flow last had a request admitted; 0 while requests are in flight. */
    idleMs(): number {
        return this.open > 0 ? 0 : this.clock.nowMs() - this.lastAdmittedAtMs;
    }

    /** Admits a request if the window has capacity. */
    tryOpen(): boolean {
        const nowMs = this.clock.nowMs();
        this.removeLimitIfUnneeded(nowMs);
        if (!this.hasCapacity(nowMs)) {
            this.lastRefusedAtMs = nowMs;
            this.consecutiveRefusals++;
            return false;
        }
        this.open++;
        this.lastAdmittedAtMs = nowMs;
        this.consecutiveRefusals = 0;
        return true;
    }

    /** Ends a request and adapts the window to the pressure that its response reported. */
    close(outcome: ChainOutcome, responseMs: number): void {
        const openBefore = this.open--;
        if (outcome.kind === "abandoned") {
            return;
        }
        const pressure = outcome.level?.pressure ?? 0;
        const nowMs = this.clock.nowMs();
        this.meanPressure += (Math.min(1, pressure) - this.meanPressure) * PRESSURE_WEIGHT;
        if (outcome.level && pressure > CALM_PRESSURE) {
            this.lastPressureAtMs = nowMs;
            this.service = outcome.level.service;
        }
        if (this.size === undefined) {
            this.startLimitingUnderPressure(openBefore, pressure);
            return;
        }
        this.size = this.adaptSize(this.size, pressure, nowMs);
        if (pressure < 1) {
            this.meanResponseMs += (responseMs - this.meanResponseMs) * RESPONSE_TIME_WEIGHT;
        }
    }

    /** Time after which a refused caller should retry. */
    retryAfterMs(): number {
        const responseMs = Math.max(1, this.meanResponseMs);
        const waitMs = responseMs * (1 + this.consecutiveRefusals) / Math.max(1, this.size ?? 1);
        return Math.min(MAXIMUM_RETRY_AFTER_MS, Math.max(MINIMUM_RETRY_AFTER_MS, waitMs));
    }

    private hasCapacity(nowMs: number): boolean {
        if (this.size === undefined || nowMs - this.lastAdmittedAtMs > PROBE_INTERVAL_MS) {
            return true;
        }
        if (this.size >= 1) {
            return this.open < Math.floor(this.size);
        }
        // A window below one request limits the spacing between requests instead.
        const spacingMs = Math.max(MINIMUM_SPACING_RESPONSE_MS, this.meanResponseMs) / this.size;
        return this.open === 0 && nowMs - this.lastAdmittedAtMs > spacingMs;
    }

    private startLimitingUnderPressure(openBefore: number, pressure: number): void {
        if (pressure >= 1 || this.meanPressure > targetPressures[this.importance]) {
            this.size = Math.max(SMALL_WINDOW, openBefore * INITIAL_SIZE_RATIO);
        }
    }

    private adaptSize(size: number, pressure: number, nowMs: number): number {
        if (pressure >= 1) {
            return Math.max(MINIMUM_WINDOW, size - DECREASE_PER_REFUSAL * (pressure - 1) * Math.min(1, size));
        }
        const growthFraction = Math.max(-1, 1 - pressure / targetPressures[this.importance]);
        if (growthFraction < 0) {
            return size < SMALL_WINDOW ?
                size + GROWTH_PER_RESPONSE :
                Math.max(SMALL_WINDOW, size + GROWTH_PER_RESPONSE * growthFraction);
        }
        const isInUse = nowMs - this.lastRefusedAtMs <= Math.max(MINIMUM_IN_USE_MS, 2 * this.meanResponseMs);
        const calmResponseTimes = (nowMs - this.lastPressureAtMs) / Math.max(1, this.meanResponseMs);
        return isInUse ?
            size +
            GROWTH_PER_RESPONSE * growthFraction *
                Math.min(MAXIMUM_CALM_GROWTH_FACTOR, Math.max(1, calmResponseTimes)) :
            size;
    }

    private removeLimitIfUnneeded(nowMs: number): void {
        const calmSinceMs = Math.max(this.lastPressureAtMs, this.lastRefusedAtMs);
        if (this.size !== undefined && nowMs - calmSinceMs > WINDOW_EXPIRY_MS) {
            this.size = undefined;
            this.meanPressure = 0;
        }
    }
}
