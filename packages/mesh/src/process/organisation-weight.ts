/**
 * Weight of an organisation where capacity is scarce: its published rate.
 */

/** Weight of an organisation without a rate, and of requests that name no organisation or no valid weight. */
export const DEFAULT_WEIGHT = 100;

/** Weight for a published rate in requests a second, which is 0 where there is no limit. */
export function weightOfRate(ratePerSecond: number): number {
    return toWeight(ratePerSecond);
}

/** Weight as another node sent it; the default if it sent none, or one that is no positive number. */
export function toWeight(weight: number | undefined): number {
    return weight !== undefined && weight > 0 && weight < Infinity ? weight : DEFAULT_WEIGHT;
}
