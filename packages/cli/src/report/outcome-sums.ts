/**
 * Sums and differences of the counters that nodes give.
 */
import type { OrganisationOutcomes } from "@radishrouter/core";

type Counters = Readonly<Record<string, number>>;

/** Counters at zero. */
export function createOutcomes(): OrganisationOutcomes {
    return { offered: 0, completed: 0, delayed: 0, refused: {}, failed: {}, unknown: {}, refusedWithinRate: 0 };
}

/** Adds counters. */
export function addOutcomes(left: OrganisationOutcomes, right: OrganisationOutcomes): OrganisationOutcomes {
    return combine(left, right, 1);
}

/** Counts from an earlier state of the same process on; from its start when there is none. */
export function subtractOutcomes(
    now: OrganisationOutcomes,
    earlier: OrganisationOutcomes | undefined,
): OrganisationOutcomes {
    return earlier ? combine(now, earlier, -1) : now;
}

/** Sum of counters of all codes. */
export function sumCounters(counters: Counters): number {
    return Object.values(counters).reduce((total, count) => total + count, 0);
}

/** Requests that have ended; equals those offered once none is open. */
export function countEnded(outcomes: OrganisationOutcomes): number {
    const { completed, refused, failed, unknown } = outcomes;
    return completed + sumCounters(refused) + sumCounters(failed) + sumCounters(unknown);
}

function combine(left: OrganisationOutcomes, right: OrganisationOutcomes, sign: 1 | -1): OrganisationOutcomes {
    return {
        offered: left.offered + sign * right.offered,
        completed: left.completed + sign * right.completed,
        delayed: left.delayed + sign * right.delayed,
        refusedWithinRate: left.refusedWithinRate + sign * right.refusedWithinRate,
        refused: combineCounters(left.refused, right.refused, sign),
        failed: combineCounters(left.failed, right.failed, sign),
        unknown: combineCounters(left.unknown, right.unknown, sign),
    };
}

function combineCounters(left: Counters, right: Counters, sign: 1 | -1): Record<string, number> {
    const names = [...new Set([...Object.keys(left), ...Object.keys(right)])].sort();
    const sums = names.map(name => [name, (left[name] ?? 0) + sign * (right[name] ?? 0)] as const);
    return Object.fromEntries(sums.filter(([, count]) => count !== 0));
}
