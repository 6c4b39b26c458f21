/**
 * Compares what backend servers ran with the rate and burst of an organisation.
 */
import type { RunRecord } from "../standin/backend-server.js";

/** Rate and burst of an organisation. */
export interface RateAndBurst {
    readonly rate: number;
    readonly burst: number;
}

/** Resolution of the times in run records. */
const RESOLUTION_MS = 1;

/** Times at which requests started whose id has a prefix, in order. */
export function startTimes(records: readonly RunRecord[], requestIdPrefix: string): number[] {
    return records
        .filter(record => record.event === "start" && record.requestId.startsWith(requestIdPrefix))
        .map(record => record.timeMs)
        .sort((left, right) => left - right);
}

/** Largest number of starts above rate·t + burst over all intervals; negative when the limit was never reached. */
export function largestExcess(timesMs: readonly number[], { rate, burst }: RateAndBurst): number {
    let lowest = Infinity;
    let excess = -burst;
    for (const [index, timeMs] of timesMs.entries()) {
        lowest = Math.min(lowest, index - rate * timeMs / 1000);
        const accrued = rate * (timeMs + RESOLUTION_MS) / 1000;
        excess = Math.max(excess, index + 1 - accrued - lowest - burst);
    }
    return excess;
}
