/**
 * Divides an admitted fraction of all requests between classes of importance.
 *
 * Handles a demand above what is admitted: the most important requests go first, but each class keeps at least a
 * quarter of the served share of all, so that a class that bursts does not starve the others.
 */

/** Number of classes; less important requests count as the last. */
export const CLASS_COUNT = 3;
/** Part of the admitted fraction of all requests that each class keeps. */
export const MINIMUM_CLASS_SHARE = 0.25;

/** Class of a priority; 0 is the most important. */
export function classOf(priority: number): number {
    return Math.min(Math.max(0, priority), CLASS_COUNT - 1);
}

/** Writes to `fractions` which part of each class is admitted, by the requests that each class offers. */
export function divideBetweenClasses(admittedFraction: number, offered: readonly number[], fractions: number[]): void {
    const reserved = admittedFraction >= 1 ? 1 : admittedFraction * MINIMUM_CLASS_SHARE;
    const total = offered.reduce((sum, count) => sum + count, 0);
    let left = total * (admittedFraction - reserved);
    offered.forEach((count, index) => {
        const taken = Math.min(left, count * (1 - reserved));
        fractions[index] = count > 0 ? reserved + taken / count : 1;
        left -= taken;
    });
}
