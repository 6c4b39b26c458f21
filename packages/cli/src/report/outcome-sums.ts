/**
 * Sums and differences of the counters that nodes report.
 */
import type { OrganisationOutcomes } from "@radishrouter/core";

type Counters = Readonly<Record<string, number>>;

/** Creates counters at zero. */
export function createOutcomes(): OrganisationOutcomes {
    return { offered: 0, completed: 0, delayed: 0, refused: {}, failed: {}, unknown: {}, refusedWithinRate: 0 };
}

/** Adds two sets of counters. */
export function addOutcomes(left: OrganisationOutcomes, right: OrganisationOutcomes): OrganisationOutcomes {
    return combine(left, right, 1);
}

/** Returns what a process counted after an earlier state of its counters, or since its start if there is none. */
export function subtractOutcomes(
    now: OrganisationOutcomes,
    earlier: OrganisationOutcomes | undefined,
): OrganisationOutcomes {
    return earlier ? combine(now, earlier, -1) : now;
}

/** Returns the sum of the counters of all result codes. */
export function sumCounters(counters: Counters): number {
    return Object.values(counters).reduce((total, count) => total + count, 0);
}

/** Returns the number of requests that have ended, which equals those offered once no request is in flight. */
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
