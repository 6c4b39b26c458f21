/**
 * What a borrower holds, counted by the borrower's clock from before it asked.
 */

/** One lease that a borrower holds from one lender. */
export interface HeldLease {
    readonly lender: string;
    readonly requestId: bigint;
    readonly fraction: number;
    readonly endsMs: number;
}

/** Leases of one share, at most one from each lender. */
export class HeldLeases {
    private readonly leases = new Map<string, HeldLease>();

    private constructor() {}

    static create(): HeldLeases {
        return new HeldLeases();
    }

    /** Takes over a lease unless one of a later request is held; a fraction of 0 ends it. */
    put(lease: HeldLease): void {
        const held = this.leases.get(lease.lender);
        if (!held || held.requestId < lease.requestId) {
            this.leases.set(lease.lender, lease);
        }
    }

    /** Fraction that is held from one lender at a time. */
    from(lender: string, timeMs: number): number {
        const lease = this.leases.get(lender);
        return lease && lease.endsMs > timeMs ? lease.fraction : 0;
    }

    /** Fraction held by leases that still run at a time. */
    heldAt(timeMs: number): number {
        let sum = 0;
        for (const lease of this.leases.values()) {
            sum += lease.endsMs > timeMs ? lease.fraction : 0;
        }
        return sum;
    }

    /** Names of the lenders of leases that still run. */
    lenders(timeMs: number): string[] {
        return [...this.leases.values()]
            .filter(lease => lease.endsMs > timeMs && lease.fraction > 0)
            .map(lease => lease.lender);
    }

    /** Drops everything at once, after a pause or when it is given back. */
    clear(): void {
        this.leases.clear();
    }
}
