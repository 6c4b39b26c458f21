/**
 * The retry budgets of all services at this node.
 */
import type { RequestLog } from "./request-log.js";
import { RetryLenders } from "./retry-lenders.js";
import type { RetryLendersOptions } from "./retry-lenders.js";
import { ServiceRetryBudget } from "./service-retry-budget.js";

/** Collaborators and settings. */
export interface ServiceRetryBudgetsOptions extends RetryLendersOptions {
    readonly log: RequestLog;
    /** Whether servers of a service are listed; no budgets are held for other names that a node sends. */
    readonly isListed: (service: string) => boolean;
}

/** Retry budgets by service, each created when a request of the service needs it. */
export class ServiceRetryBudgets {
    /** Retries that were lent to other nodes since the start. */
    lentCount = 0;
    readonly lenders: RetryLenders;
    private readonly budgets = new Map<string, ServiceRetryBudget>();

    private constructor(private readonly options: ServiceRetryBudgetsOptions) {
        this.lenders = RetryLenders.create(options);
    }

    static create(options: ServiceRetryBudgetsOptions): ServiceRetryBudgets {
        return new ServiceRetryBudgets(options);
    }

    /** Takes up to `wanted` retries of a service for another node, before the reply is sent; returns how many. */
    lend(service: string, wanted: number, borrower: string): number {
        const { log, isListed } = this.options;
        if (!isListed(service) || !this.lenders.isLender(service)) {
            return 0;
        }
        const granted = this.of(service).lend(wanted);
        this.lentCount += granted;
        if (granted > 0) {
            log.decision("retries-lent", { service, borrower, granted });
        }
        return granted;
    }

    /** Retry budget of a service. */
    of(service: string): ServiceRetryBudget {
        let budget = this.budgets.get(service);
        if (!budget) {
            const { limits, fleet } = this.options;
            budget = ServiceRetryBudget.create(limits, {
                nodeCount: () => fleet.hosts.length,
                position: () => fleet.positionOf(service),
            });
            this.budgets.set(service, budget);
        }
        return budget;
    }
}
