/**
 * Fair shares of a capacity: weighted max-min fairness.
 */

/** What one organisation asks for and how much weight it has. */
export interface ShareDemand {
    readonly name: string;
    readonly demand: number;
    readonly weight: number;
}

/**
 * Divides a capacity so that nobody gets more than it asks for and what is left goes to the others by weight.
 */
export function fairShares(capacity: number, demands: readonly ShareDemand[]): Map<string, number> {
    const shares = new Map<string, number>();
    let left = capacity;
    let open = [...demands];
    while (open.length > 0) {
        const weight = open.reduce((sum, { weight }) => sum + weight, 0);
        const perWeight = left / weight;
        const satisfied = open.filter(({ demand, weight }) => demand <= perWeight * weight);
        if (satisfied.length === 0) {
            open.forEach(({ name, weight }) => shares.set(name, perWeight * weight));
            return shares;
        }
        for (const { name, demand } of satisfied) {
            shares.set(name, demand);
            left -= demand;
        }
        open = open.filter(({ name }) => !shares.has(name));
    }
    return shares;
}
