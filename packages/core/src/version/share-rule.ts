/**
 * Whether two versions of the configuration can be in force beside each other without exceeding any rate.
 */
import type { Configuration } from "./configuration.js";

/** Number of shares into which a version divides every rate. */
export function shareCountOf(configuration: Configuration): number {
    return configuration.shareCount ?? countSeats(configuration);
}

/** Seats of all failure domains together. */
export function countSeats(configuration: Configuration): number {
    return Object.values(configuration.failureDomains).reduce((sum, { seats }) => sum + seats, 0);
}

/**
 * Checks that nodes which hold the former version and nodes which hold the next one together mint at most the whole.
 *
 * Returns what is wrong, or undefined. Seats are added in two versions: first a larger `shareCount`, then, once that
 * version is in force on every node, the seats. They are removed the other way round.
 */
export function findShareConflict(former: Configuration, next: Configuration): string | undefined {
    const names = new Set([...Object.keys(former.failureDomains), ...Object.keys(next.failureDomains)]);
    let minted = 0;
    for (const name of names) {
        minted += largestFraction(former, next, name);
    }
    if (minted <= 1 + Number.EPSILON * names.size * 4) {
        return undefined;
    }
    const percent = (minted * 100).toFixed(1);
    return `while some nodes hold version ${former.version} and others version ${next.version}, seats would mint ` +
        `${percent}% of every rate; to add seats, first raise shareCount alone, and to remove seats, keep shareCount ` +
        "until the version with fewer seats is in force everywhere";
}

/** What the seats of a failure domain mint when each follows the version that gives it more. */
function largestFraction(former: Configuration, next: Configuration, failureDomain: string): number {
    const formerSeats = former.failureDomains[failureDomain]?.seats ?? 0;
    const nextSeats = next.failureDomains[failureDomain]?.seats ?? 0;
    const formerFraction = 1 / shareCountOf(former);
    const nextFraction = 1 / shareCountOf(next);
    const common = Math.min(formerSeats, nextSeats) * Math.max(formerFraction, nextFraction);
    const onlyFormer = Math.max(0, formerSeats - nextSeats) * formerFraction;
    const onlyNext = Math.max(0, nextSeats - formerSeats) * nextFraction;
    return common + onlyFormer + onlyNext;
}
