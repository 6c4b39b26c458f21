/**
 * Computes how many completed requests each organisation would have received if scarce capacity had been divided in
 * proportion to the published rates.
 */

/** Demand of one organisation and its weight. */
export interface ShareDemand {
    readonly organisation: string;
    /** Requests that it offered. */
    readonly offered: number;
    /** Published rate in requests per second, used as the weight of the organisation. */
    readonly rate: number;
}

/**
 * Divides a number of completed requests among organisations by weighted max-min fairness.
 *
 * Each organisation gets a share in proportion to its rate, but never more than it offered. What one organisation does
 * not need is divided among the others in proportion to their rates.
 */
export function divideFairly(completed: number, demands: readonly ShareDemand[]): Map<string, number> {
    const shares = new Map<string, number>();
    let remaining = completed;
    const sortedByRelativeDemand = demands.filter(demand => demand.rate > 0)
        .sort((left, right) => left.offered / left.rate - right.offered / right.rate);
    let remainingRate = sortedByRelativeDemand.reduce((sum, demand) => sum + demand.rate, 0);
    for (const demand of sortedByRelativeDemand) {
        const share = Math.min(demand.offered, remaining * demand.rate / remainingRate);
        shares.set(demand.organisation, share);
        remaining -= share;
        remainingRate -= demand.rate;
    }
    return shares;
}
