/**
 * Weighted max-min fair shares of a capacity.
 */

/** Demand and weight of one organisation. */
export interface ShareDemand {
    readonly name: string;
    readonly demand: number;
    readonly weight: number;
}

/**
 * Divides a capacity so that no organisation gets more than its demand; capacity that an organisation doesn't need is
 * divided among the others by weight.
 */
export function fairShares(capacity: number, demands: readonly ShareDemand[]): Map<string, number> {
    const shares = new Map<string, number>();
    let remainingCapacity = capacity;
    let unsatisfied = [...demands];
    while (unsatisfied.length > 0) {
        const totalWeight = unsatisfied.reduce((sum, { weight }) => sum + weight, 0);
        const capacityPerWeight = remainingCapacity / totalWeight;
        const satisfied = unsatisfied.filter(({ demand, weight }) => demand <= capacityPerWeight * weight);
        if (satisfied.length === 0) {
            unsatisfied.forEach(({ name, weight }) => shares.set(name, capacityPerWeight * weight));
            return shares;
        }
        for (const { name, demand } of satisfied) {
            shares.set(name, demand);
            remainingCapacity -= demand;
        }
        unsatisfied = unsatisfied.filter(({ name }) => !shares.has(name));
    }
    return shares;
}
