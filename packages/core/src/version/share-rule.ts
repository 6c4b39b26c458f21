/**
 * Checks whether two configuration versions can be active on different nodes without exceeding any rate.
 */
import type { Configuration } from "./configuration.js";

/** Number of shares into which a configuration divides every rate. */
export function shareCountOf(configuration: Configuration): number {
    return configuration.shareCount ?? countSeats(configuration);
}

/** Total number of seats of all failure domains. */
export function countSeats(configuration: Configuration): number {
    return Object.values(configuration.failureDomains).reduce((sum, { seats }) => sum + seats, 0);
}

/**
 * Checks that nodes with the former version and nodes with the next one together generate at most the full rate.
 *
 * Returns a description of the conflict, or undefined if there is none. Adding seats takes two versions: the first
 * raises `shareCount`, and the second adds the seats once the first is active on every node. Removing seats takes the
 * same steps in reverse order.
 */
export function findShareConflict(former: Configuration, next: Configuration): string | undefined {
    const names = new Set([...Object.keys(former.failureDomains), ...Object.keys(next.failureDomains)]);
    let generated = 0;
    for (const name of names) {
        generated += maximumFraction(former, next, name);
    }
    if (generated <= 1 + Number.EPSILON * names.size * 4) {
        return undefined;
    }
    const percent = (generated * 100).toFixed(1);
    return `while some nodes hold version ${former.version} and others version ${next.version}, seats would mint ` +
        `${percent}% of every rate; to add seats, first raise shareCount alone, and to remove seats, keep shareCount ` +
        "until the version with fewer seats is in force everywhere";
}

/** Fraction of every rate that a failure domain generates if each seat follows the version that gives it more. */
function maximumFraction(former: Configuration, next: Configuration, failureDomain: string): number {
    const formerSeats = former.failureDomains[failureDomain]?.seats ?? 0;
    const nextSeats = next.failureDomains[failureDomain]?.seats ?? 0;
    const formerFraction = 1 / shareCountOf(former);
    const nextFraction = 1 / shareCountOf(next);
    const common = Math.min(formerSeats, nextSeats) * Math.max(formerFraction, nextFraction);
    const onlyFormer = Math.max(0, formerSeats - nextSeats) * formerFraction;
    const onlyNext = Math.max(0, nextSeats - formerSeats) * nextFraction;
    return common + onlyFormer + onlyNext;
}
