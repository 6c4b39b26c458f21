/**
 * Compares the requests that backend servers ran with the rate and burst of an organisation.
 */
import type { RunRecord } from "../standin/backend-server.js";

/** Rate limit of an organisation, in requests per second, and its burst, in requests. */
export interface RateAndBurst {
    readonly rate: number;
    readonly burst: number;
}

/** Resolution of the times in run records; an interval may be longer by this much than its times show. */
const RESOLUTION_MS = 1;

/** Start times of the requests whose id starts with a prefix, in ascending order. */
export function startTimes(records: readonly RunRecord[], requestIdPrefix: string): number[] {
    return records
        .filter(record => record.event === "start" && record.requestId.startsWith(requestIdPrefix))
        .map(record => record.timeMs)
        .sort((left, right) => left - right);
}

/**
 * Largest excess of starts over rate·t + burst in any interval of length t; negative when the limit was never reached.
 *
 * Needs a single pass: keeps the lowest difference so far between starts and accrued tokens, from which the worst
 * interval begins.
 */
export function largestExcess(timesMs: readonly number[], { rate, burst }: RateAndBurst): number {
    let lowestBalance = Infinity;
    let excess = -burst;
    for (const [index, timeMs] of timesMs.entries()) {
        lowestBalance = Math.min(lowestBalance, index - rate * timeMs / 1000);
        const accrued = rate * (timeMs + RESOLUTION_MS) / 1000;
        excess = Math.max(excess, index + 1 - accrued - lowestBalance - burst);
    }
    return excess;
}
