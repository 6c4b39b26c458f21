/**
 * How hard the services below the own backend server are to reach: the part of its onward calls that was refused.
 *
 * Each node tells its pressure with the outcomes that it gives. A call counts with the pressure that the node below
 * told, so that the pressure of the deepest service comes up the chain call by call.
 */
import type { Clock } from "@radishrouter/core";
import { decayFactor } from "@radishrouter/core";

const HALF_LIFE_MS = 400;
/** Calls that count as served before any is known. */
const PRIOR_CALLS = 2;

/** Pressure of the onward calls of one backend server, from 0 to 1. */
export class DownstreamPressure {
    private calls = 0;
    private refused = 0;
    private atMs: number;
    private recordedAtMs: number;

    private constructor(private readonly clock: Clock) {
        this.atMs = clock.nowMs();
        this.recordedAtMs = this.atMs;
    }

    static create(clock: Clock): DownstreamPressure {
        return new DownstreamPressure(clock);
    }

    /** Records a call with its pressure: 1 if it was refused for want of room. */
    record(pressure: number): void {
        this.decay();
        this.recordedAtMs = this.atMs;
        this.calls++;
        this.refused += Math.min(1, Math.max(0, pressure));
    }

    /** Pressure of the last calls; goes back to 0 when there are none. */
    current(): number {
        this.decay();
        const sinceLastMs = this.atMs - this.recordedAtMs;
        return this.refused / (this.calls + PRIOR_CALLS) * decayFactor(sinceLastMs, HALF_LIFE_MS);
    }

    private decay(): void {
        const nowMs = this.clock.nowMs();
        const remaining = decayFactor(nowMs - this.atMs, HALF_LIFE_MS);
        this.calls *= remaining;
        this.refused *= remaining;
        this.atMs = nowMs;
    }
}
