/**
 * Bounds the requests that are sent once more to a service, counted over the whole fleet.
 *
 * Answers a load of failures: each node may repeat a small part of its own requests and has a fixed share of a reserve,
 * so that the sum over all nodes stays within the published ratio and reserve without any message.
 */

/** Published bounds for repeats of the requests of one service, over all nodes. */
export interface RetryBudgetLimits {
    /** Repeats per request. */
    readonly ratio: number;
    /** Repeats beyond the ratio in one window. */
    readonly reserve: number;
}

/**
 * Part of the published ratio that each hop uses. A repeated request repeats its calls down the chain, so the repeats
 * of all hops add up at the deepest service.
 */
const PART_OF_RATIO = 0.25;
const PART_OF_RESERVE = 0.25;
const LEAST_RESERVE = 1;

/** Repeats that this node may still send to one service. */
export class ServiceRetryBudget {
    private tokens: number;

    private constructor(private readonly bounds: RetryBudgetLimits, private readonly nodeCount: () => number) {
        this.tokens = this.reserve();
    }

    static create(bounds: RetryBudgetLimits, nodeCount: () => number): ServiceRetryBudget {
        return new ServiceRetryBudget(bounds, nodeCount);
    }

    /** Counts a request that is sent for the first time. */
    recordRequest(): void {
        this.tokens = Math.min(this.reserve(), this.tokens + this.bounds.ratio * PART_OF_RATIO);
    }

    /** Takes one repeat; false when the allowance is spent. */
    tryTake(): boolean {
        if (this.tokens < 1) {
            return false;
        }
        this.tokens--;
        return true;
    }

    private reserve(): number {
        return Math.max(LEAST_RESERVE, this.bounds.reserve * PART_OF_RESERVE / Math.max(1, this.nodeCount()));
    }
}
