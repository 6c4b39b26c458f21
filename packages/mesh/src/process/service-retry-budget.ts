/**
 * Limits the retries to a service, counted over all nodes of the fleet.
 *
 * Protects against retry storms: each node may retry a small fraction of its own requests and has an equal share of a
 * reserve, so that the sum over all nodes stays within the published ratio and reserve. A node can lend what it holds to
 * another one, which does not change the sum.
 */

/** Published limits for the retries to one service, over all nodes. */
export interface RetryBudgetLimits {
    /** Retries per request. */
    readonly ratio: number;
    /** Retries beyond the ratio in one window. */
    readonly reserve: number;
}

/**
 * Fraction of the published ratio that each hop uses. A retried request repeats its downstream calls, so the retries
 * of all hops add up at the deepest service.
 */
const RATIO_FRACTION_PER_HOP = 0.25;
/** The same for the reserve; as many retries may move between nodes. */
export const RESERVE_FRACTION_PER_HOP = 0.25;
/** Tokens that are lent to another node at a time, at most. */
const MAXIMUM_LOAN = 8;
/** Tokens that a node can hold whose share of the reserve is less than one. */
const MINIMUM_CAPACITY = 1;

/** Position of this node in the fleet. */
export interface FleetPosition {
    readonly nodeCount: () => number;
    /** Position in an order of all nodes that every node knows, from 0. */
    readonly position: () => number;
}

/** Retries that this node may still send to one service. */
export class ServiceRetryBudget {
    private tokens: number;

    private constructor(private readonly limits: RetryBudgetLimits, private readonly fleet: FleetPosition) {
        this.tokens = this.initialTokens();
    }

    static create(limits: RetryBudgetLimits, fleet: FleetPosition): ServiceRetryBudget {
        return new ServiceRetryBudget(limits, fleet);
    }

    /** Counts a request, which adds to the budget; retries of it are not counted. */
    recordRequest(): void {
        this.tokens = Math.min(this.capacity(), this.tokens + this.limits.ratio * RATIO_FRACTION_PER_HOP);
    }

    /** Takes one retry from the budget; returns false when the budget is exhausted. */
    tryTake(): boolean {
        if (this.tokens < 1) {
            return false;
        }
        this.tokens--;
        return true;
    }

    /** Takes up to `wanted` tokens, but no more than half of them, for another node; returns how many. */
    lend(wanted: number): number {
        const available = Math.ceil(Math.floor(this.tokens) / 2);
        const granted = Number.isFinite(wanted) ?
            Math.max(0, Math.min(Math.floor(wanted), available, MAXIMUM_LOAN)) :
            0;
        this.tokens -= granted;
        return granted;
    }

    /** Adds tokens of another node for `waiting` retries; what this node could not hold otherwise is lost. */
    receive(granted: number, waiting: number): void {
        this.tokens = Math.min(Math.max(this.capacity(), this.tokens, waiting), this.tokens + granted);
    }

    /** Share of the reserve; in a fleet with more nodes than retries in the reserve, only some nodes start with one. */
    private initialTokens(): number {
        const mayStartWithOne = this.fleet.nodeCount() <= this.limits.reserve ||
            this.fleet.position() < Math.floor(this.limits.reserve);
        return mayStartWithOne ? this.capacity() : 0;
    }

    private capacity(): number {
        const share = this.limits.reserve * RESERVE_FRACTION_PER_HOP / Math.max(1, this.fleet.nodeCount());
        return Math.max(MINIMUM_CAPACITY, share);
    }
}
