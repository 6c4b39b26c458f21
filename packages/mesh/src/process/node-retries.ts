/**
 * Components of a node that limit the retries to each service, and what they follow: the list of hosts and the settings.
 */
import type { Clock } from "@radishrouter/core";
import type { FleetView } from "./fleet-view.js";
import type { RetryLoanFigures } from "./mesh-metrics.js";
import type { MeshNodeSettings } from "./mesh-node-settings.js";
import type { RequestLog } from "./request-log.js";
import { RetryLoans } from "./retry-loans.js";
import type { ServerDirectory } from "./server-directory.js";
import type { ServiceRetryBudget } from "./service-retry-budget.js";
import { ServiceRetryBudgets } from "./service-retry-budgets.js";

/** Collaborators and settings. */
export interface NodeRetriesOptions {
    readonly clock: Clock;
    readonly log: RequestLog;
    readonly fleet: FleetView;
    readonly directory: ServerDirectory;
    readonly settings: Pick<MeshNodeSettings, "hostAddress" | "retryBudgetLimits">;
    /** Whether retries can be requested from a host. */
    readonly isReachable: (address: string) => boolean;
    /** Requests retries of a service from a host; resolves with undefined if it gives no answer. */
    readonly ask: (address: string, service: string, wanted: number) => Promise<number | undefined>;
}

/** The retry budgets of all services at this node, and the loans between them and those of other nodes. */
export class NodeRetries {
    readonly loans: RetryLoans;
    private readonly budgets: ServiceRetryBudgets;

    private constructor({ clock, log, fleet, directory, settings, isReachable, ask }: NodeRetriesOptions) {
        this.budgets = ServiceRetryBudgets.create({
            clock,
            log,
            fleet,
            limits: settings.retryBudgetLimits,
            localAddress: settings.hostAddress,
            isListed: service => directory.hostsOf(service).length > 0,
        });
        const budgetOf = (service: string) => this.budgetOf(service);
        this.loans = RetryLoans.create({ clock, log, lenders: this.budgets.lenders, budgetOf, isReachable, ask });
    }

    static create(options: NodeRetriesOptions): NodeRetries {
        return new NodeRetries(options);
    }

    /** Retry budget of a service. */
    budgetOf(service: string): ServiceRetryBudget {
        return this.budgets.of(service);
    }

    /** Takes up to `wanted` retries of a service for another node; returns how many. */
    lend(service: string, wanted: number, borrower: string): number {
        return this.budgets.lend(service, wanted, borrower);
    }

    /** Numbers for the metrics. */
    figures(): RetryLoanFigures {
        return { ...this.loans.counts, lent: this.budgets.lentCount };
    }
}
