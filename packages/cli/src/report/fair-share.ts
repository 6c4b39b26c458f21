/**
 * What each organisation would have received of a capacity that ran short, had it been shared by rate.
 */

/** What one organisation asked for and may have. */
export interface ShareDemand {
    readonly organisation: string;
    /** Requests that it offered. */
    readonly offered: number;
    /** Published rate; the weight of the organisation. */
    readonly rate: number;
}

/**
 * Divides a number of completed requests among organisations by weighted max-min fairness.
 *
 * Each gets a part in proportion to its rate, but never more than it offered; what one does not need goes to the
 * others in proportion to their rates.
 */
export function divideFairly(completed: number, demands: readonly ShareDemand[]): Map<string, number> {
    const shares = new Map<string, number>();
    let remaining = completed;
    const ascending = demands.filter(demand => demand.rate > 0)
        .sort((left, right) => left.offered / left.rate - right.offered / right.rate);
    let remainingRate = ascending.reduce((sum, demand) => sum + demand.rate, 0);
    for (const demand of ascending) {
        const share = Math.min(demand.offered, remaining * demand.rate / remainingRate);
        shares.set(demand.organisation, share);
        remaining -= share;
        remainingRate -= demand.rate;
    }
    return shares;
}
