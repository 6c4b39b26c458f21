/**
 * Leases that a borrower holds. Each is timed by the borrower's clock from before the request was sent, so that it
 * ends at the borrower before it ends at the lender.
 */

/** A lease that a borrower holds from one lender. */
export interface HeldLease {
    readonly lender: string;
    readonly requestId: bigint;
    readonly fraction: number;
    readonly expiresAtMs: number;
}

/** Leases of one share, at most one from each lender. */
export class HeldLeases {
    private readonly leases = new Map<string, HeldLease>();

    private constructor() {}

    static create(): HeldLeases {
        return new HeldLeases();
    }

    /** Stores a lease unless one from a later request is held; a fraction of 0 ends the lease. */
    put(lease: HeldLease): void {
        const held = this.leases.get(lease.lender);
        if (!held || held.requestId < lease.requestId) {
            this.leases.set(lease.lender, lease);
        }
    }

    /** Fraction held from one lender at a given time. */
    from(lender: string, timeMs: number): number {
        const lease = this.leases.get(lender);
        return lease && lease.expiresAtMs > timeMs ? lease.fraction : 0;
    }

    /** Total fraction of the leases that are active at a given time. */
    heldAt(timeMs: number): number {
        let sum = 0;
        for (const lease of this.leases.values()) {
            sum += lease.expiresAtMs > timeMs ? lease.fraction : 0;
        }
        return sum;
    }

    /** Names of the lenders of leases that are active at a given time. */
    lendersAt(timeMs: number): string[] {
        return [...this.leases.values()]
            .filter(lease => lease.expiresAtMs > timeMs && lease.fraction > 0)
            .map(lease => lease.lender);
    }

    /** Drops all leases at once; used after a pause or when the leases are returned. */
    clear(): void {
        this.leases.clear();
    }
}
