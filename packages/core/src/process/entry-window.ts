/**
 * How many requests of one flow may be in the chain at once.
 */
import type { Importance } from "../version/configuration.js";
import type { Clock } from "./clock.js";
import type { ChainOutcome } from "./entry-admission.js";

/** Pressure at which the window is held, by importance; critical flows are limited last. */
const targetPressures: Readonly<Record<Importance, number>> = { background: 0.3, normal: 0.65, critical: 0.9 };
/** Places that an answer without pressure adds, so that the window grows by this part in one answer time. */
const GAIN = 0.12;
/** How many times faster the window grows once no answer has shown pressure for as many answer times. */
const CALM_GAIN_AT_MOST = 4;
const CALM_PRESSURE = 0.1;
/** Places that a refused request takes from the window when its organisation used its whole share of the queue. */
const REFUSAL_LOSS = 0.5;
/** Part of the open requests with which a window starts. */
const START_RATIO = 0.5;
const ANSWER_TIME_WEIGHT = 0.1;
const PRESSURE_WEIGHT = 0.3;
const WINDOW_AT_LEAST = 0.05;
/** Window below which only refusals shrink it: a small flow within its share may wait long for its turn. */
const SMALL_WINDOW = 2;
/** One request enters after this time however small the window is. */
const PROBE_INTERVAL_MS = 1_000;
/** Time without a refusal by the window and without pressure after which the flow needs no window. */
const UNNEEDED_MS = 2_000;
const LIMITED_MS = 200;
/** Shortest answer time that counts when requests are spaced, since a refusal takes hardly any. */
const SPACING_AT_LEAST_MS = 50;
const RETRY_AFTER_AT_LEAST_MS = 500;
const RETRY_AFTER_AT_MOST_MS = 5_000;

/** Window of one flow; without a limit as long as no pressure was met. */
export class EntryWindow {
    private size: number | undefined;
    private open = 0;
    private pressure = 0;
    private service = "";
    private answerMs = 0;
    private admittedAtMs: number;
    private refusedAtMs = -Infinity;
    private refusedSinceAdmitted = 0;
    private pressedAtMs: number;

    private constructor(private readonly clock: Clock, private readonly importance: Importance) {
        this.admittedAtMs = clock.nowMs();
        this.pressedAtMs = clock.nowMs();
    }

    static create(clock: Clock, importance: Importance): EntryWindow {
        return new EntryWindow(clock, importance);
    }

    /** Service that showed the highest pressure. */
    get tightestService(): string {
        return this.service;
    }

    /** Time since the flow had a request. */
    idleMs(): number {
        return this.open > 0 ? 0 : this.clock.nowMs() - this.admittedAtMs;
    }

    /** Takes a place in the window if there is one. */
    tryOpen(): boolean {
        const nowMs = this.clock.nowMs();
        this.endIfUnneeded(nowMs);
        if (!this.hasPlace(nowMs)) {
            this.refusedAtMs = nowMs;
            this.refusedSinceAdmitted++;
            return false;
        }
        this.open++;
        this.admittedAtMs = nowMs;
        this.refusedSinceAdmitted = 0;
        return true;
    }

    /** Gives a place back and adapts the window to what the request met. */
    close(outcome: ChainOutcome, answerMs: number): void {
        const openBefore = this.open--;
        if (outcome.kind === "abandoned") {
            return;
        }
        const pressure = outcome.level?.pressure ?? 0;
        const nowMs = this.clock.nowMs();
        this.pressure += (Math.min(1, pressure) - this.pressure) * PRESSURE_WEIGHT;
        if (outcome.level && pressure > CALM_PRESSURE) {
            this.pressedAtMs = nowMs;
            this.service = outcome.level.service;
        }
        if (this.size === undefined) {
            this.startLimiting(openBefore, pressure);
            return;
        }
        this.size = this.adapt(this.size, pressure, nowMs);
        if (pressure < 1) {
            this.answerMs += (answerMs - this.answerMs) * ANSWER_TIME_WEIGHT;
        }
    }

    /** When a caller that was refused should come again. */
    retryAfterMs(): number {
        const answerMs = Math.max(1, this.answerMs);
        const waitMs = answerMs * (1 + this.refusedSinceAdmitted) / Math.max(1, this.size ?? 1);
        return Math.min(RETRY_AFTER_AT_MOST_MS, Math.max(RETRY_AFTER_AT_LEAST_MS, waitMs));
    }

    private hasPlace(nowMs: number): boolean {
        if (this.size === undefined || nowMs - this.admittedAtMs > PROBE_INTERVAL_MS) {
            return true;
        }
        if (this.size >= 1) {
            return this.open < Math.floor(this.size);
        }
        // Below one request at once, requests are spaced instead.
        const spacingMs = Math.max(SPACING_AT_LEAST_MS, this.answerMs) / this.size;
        return this.open === 0 && nowMs - this.admittedAtMs > spacingMs;
    }

    private startLimiting(openBefore: number, pressure: number): void {
        if (pressure >= 1 || this.pressure > targetPressures[this.importance]) {
            this.size = Math.max(SMALL_WINDOW, openBefore * START_RATIO);
        }
    }

    private adapt(size: number, pressure: number, nowMs: number): number {
        if (pressure >= 1) {
            return Math.max(WINDOW_AT_LEAST, size - REFUSAL_LOSS * (pressure - 1) * Math.min(1, size));
        }
        const error = Math.max(-1, 1 - pressure / targetPressures[this.importance]);
        if (error < 0) {
            return size < SMALL_WINDOW ? size + GAIN : Math.max(SMALL_WINDOW, size + GAIN * error);
        }
        const isInUse = nowMs - this.refusedAtMs <= Math.max(LIMITED_MS, 2 * this.answerMs);
        const calmAnswers = (nowMs - this.pressedAtMs) / Math.max(1, this.answerMs);
        return isInUse ? size + GAIN * error * Math.min(CALM_GAIN_AT_MOST, Math.max(1, calmAnswers)) : size;
    }

    private endIfUnneeded(nowMs: number): void {
        const calmSinceMs = Math.max(this.pressedAtMs, this.refusedAtMs);
        if (this.size !== undefined && nowMs - calmSinceMs > UNNEEDED_MS) {
            this.size = undefined;
            this.pressure = 0;
        }
    }
}
