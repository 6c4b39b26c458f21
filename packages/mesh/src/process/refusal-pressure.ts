/**
 * Measures downstream pressure by refusals: the fraction of the local backend server's recent downstream calls that were
 * refused for lack of capacity.
 *
 * Handles an overload of a called service whose servers refuse calls. A call counts with the pressure that the called node
 * reported, so the pressure of the deepest service propagates up the call chain, one call at a time.
 */
import type { Clock } from "@radishrouter/core";
import { decayFactor } from "@radishrouter/core";
import type { CallPressure } from "./overload-signal.js";

const HALF_LIFE_MS = 400;
/** Calls that are assumed to have been served before any is recorded. */
const PRIOR_CALLS = 2;

/** Fraction of recent downstream calls that were refused, from 0 to 1. */
export class RefusalPressure implements CallPressure {
    private calls = 0;
    private refused = 0;
    private decayedAtMs: number;
    private recordedAtMs: number;

    private constructor(private readonly clock: Clock) {
        this.decayedAtMs = clock.nowMs();
        this.recordedAtMs = this.decayedAtMs;
    }

    static create(clock: Clock): RefusalPressure {
        return new RefusalPressure(clock);
    }

    /** Does nothing: refusals are counted by call. */
    recordRequest(): void {}

    /** Records a downstream call with its pressure: 1 if it was refused for lack of capacity. */
    record(pressure: number): void {
        this.decay();
        this.recordedAtMs = this.decayedAtMs;
        this.calls++;
        this.refused += Math.min(1, Math.max(0, pressure));
    }

    /** Pressure of the recent calls; it decays to 0 while there are no calls. */
    current(): number {
        this.decay();
        const sinceLastCallMs = this.decayedAtMs - this.recordedAtMs;
        return this.refused / (this.calls + PRIOR_CALLS) * decayFactor(sinceLastCallMs, HALF_LIFE_MS);
    }

    private decay(): void {
        const nowMs = this.clock.nowMs();
        const factor = decayFactor(nowMs - this.decayedAtMs, HALF_LIFE_MS);
        this.calls *= factor;
        this.refused *= factor;
        this.decayedAtMs = nowMs;
    }
}
