/**
 * The retry budgets of all services at this node.
 */
import type { FleetView } from "./fleet-view.js";
import { ServiceRetryBudget } from "./service-retry-budget.js";
import type { RetryBudgetLimits } from "./service-retry-budget.js";

/** Retry budgets by service, each created when a request of the service needs it. */
export class ServiceRetryBudgets {
    private readonly budgets = new Map<string, ServiceRetryBudget>();

    private constructor(private readonly limits: RetryBudgetLimits, private readonly fleet: FleetView) {}

    static create(limits: RetryBudgetLimits, fleet: FleetView): ServiceRetryBudgets {
        return new ServiceRetryBudgets(limits, fleet);
    }

    /** Retry budget of a service. */
    of(service: string): ServiceRetryBudget {
        let budget = this.budgets.get(service);
        if (!budget) {
            budget = ServiceRetryBudget.create(this.limits, {
                nodeCount: () => this.fleet.hosts.length,
                position: () => this.fleet.positionOf(service),
            });
            this.budgets.set(service, budget);
        }
        return budget;
    }
}
