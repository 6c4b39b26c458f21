/**
 * Limits the retries to a service, counted over all nodes of the fleet.
 *
 * Protects against retry storms: each node may retry a small fraction of its own requests and has an equal share of a
 * reserve, so that the sum over all nodes stays within the published ratio and reserve without any messages.
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
const RESERVE_FRACTION_PER_HOP = 0.25;
const MINIMUM_RESERVE = 1;

/** Retries that this node may still send to one service. */
export class ServiceRetryBudget {
    private tokens: number;

    private constructor(private readonly limits: RetryBudgetLimits, private readonly nodeCount: () => number) {
        this.tokens = this.reserve();
    }

    static create(limits: RetryBudgetLimits, nodeCount: () => number): ServiceRetryBudget {
        return new ServiceRetryBudget(limits, nodeCount);
    }

    /** Counts a request, which adds to the budget; retries of it are not counted. */
    recordRequest(): void {
        this.tokens = Math.min(this.reserve(), this.tokens + this.limits.ratio * RATIO_FRACTION_PER_HOP);
    }

    /** Takes one retry from the budget; returns false when the budget is exhausted. */
    tryTake(): boolean {
        if (this.tokens < 1) {
            return false;
        }
        this.tokens--;
        return true;
    }

    /** Share of the reserve of one node, which is also the maximum of its tokens. */
    private reserve(): number {
        return Math.max(
            MINIMUM_RESERVE,
            this.limits.reserve * RESERVE_FRACTION_PER_HOP / Math.max(1, this.nodeCount()),
        );
    }
}
