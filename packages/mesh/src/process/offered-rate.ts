/**
 * Rate at which requests of each class are offered.
 *
 * Handles nodes with many and with few requests: a short mean where it rests on enough requests, else a long one.
 */
import type { Clock } from "@radishrouter/core";
import { decayFactor } from "@radishrouter/core";

const SHORT_HALF_LIFE_MS = 400;
const LONG_HALF_LIFE_MS = 3_000;
/** Requests in the short mean from which it is used. */
const SUFFICIENT_REQUESTS = 5;
/** Just after the start, few requests are taken for those of at least this time. */
const MINIMUM_AGE_MS = 1_000;
/** Observations within this time decay together, which saves the power function on most calls. */
const DECAY_STEP_MS = 5;

/** Decaying counts of the requests of each class. */
export class OfferedRate {
    /** Requests of each class in the long mean. */
    readonly byClass: number[];
    private short = 0;
    private long = 0;
    private decayedAtMs: number;
    private readonly startedAtMs: number;

    private constructor(private readonly clock: Clock, classCount: number) {
        this.byClass = Array.from({ length: classCount }, () => 0);
        this.startedAtMs = clock.nowMs();
        this.decayedAtMs = this.startedAtMs;
    }

    static create(clock: Clock, classCount: number): OfferedRate {
        return new OfferedRate(clock, classCount);
    }

    /** Counts one request of a class. */
    count(requestClass: number): void {
        this.decay();
        this.byClass[requestClass]!++;
        this.short++;
        this.long++;
    }

    /** Requests a ms of all classes. */
    current(): number {
        this.decay();
        if (this.short >= SUFFICIENT_REQUESTS) {
            return this.short / this.windowMs(SHORT_HALF_LIFE_MS, 1);
        }
        const minimumAgeMs = this.long >= SUFFICIENT_REQUESTS ? 1 : MINIMUM_AGE_MS;
        return this.long / this.windowMs(LONG_HALF_LIFE_MS, minimumAgeMs);
    }

    /** Requests a ms of one class. */
    rateOf(requestClass: number): number {
        return this.long > 0 ? this.current() * this.byClass[requestClass]! / this.long : 0;
    }

    /** Width of the exponential window of a half-life, which is shorter just after the start. */
    private windowMs(halfLifeMs: number, minimumAgeMs: number): number {
        const ageMs = Math.max(minimumAgeMs, this.clock.nowMs() - this.startedAtMs);
        return halfLifeMs / Math.LN2 * (1 - decayFactor(ageMs, halfLifeMs));
    }

    private decay(): void {
        const nowMs = this.clock.nowMs();
        const elapsedMs = nowMs - this.decayedAtMs;
        if (elapsedMs < DECAY_STEP_MS) {
            return;
        }
        const shortFactor = decayFactor(elapsedMs, SHORT_HALF_LIFE_MS);
        const longFactor = decayFactor(elapsedMs, LONG_HALF_LIFE_MS);
        this.short *= shortFactor;
        this.long *= longFactor;
        for (let index = 0; index < this.byClass.length; index++) {
            this.byClass[index]! *= longFactor;
        }
        this.decayedAtMs = nowMs;
    }
}
