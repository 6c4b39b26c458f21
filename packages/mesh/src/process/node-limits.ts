/**
 * Limits of all listeners of a node, with the memory that they share.
 */
import type { Clock } from "@radishrouter/core";
import type { ListenerGuardOptions, MetLimit } from "../connection/listener-guard.js";
import { BodyBudget } from "./body-budget.js";
import { defaultListenerLimits } from "./listener-limits.js";
import type { ListenerLimits } from "./listener-limits.js";
import type { MeshMetrics } from "./mesh-metrics.js";
import type { RequestLog } from "./request-log.js";
import { StalledSenders } from "./stalled-senders.js";

/** Listener of a node; a label of the metrics. */
export type ListenerName = "callers" | "readiness" | "metrics" | "peers";

/** Where limits that are met are reported. */
export interface LimitReports {
    readonly log: RequestLog;
    readonly metrics: MeshMetrics;
}

/** Limits of the listeners of one node. */
export class NodeLimits {
    readonly limits: ListenerLimits;
    /** Unfinished requests of callers. */
    readonly stalledCallers: StalledSenders;
    /** Unfinished frames of other nodes. */
    readonly stalledPeers: StalledSenders;
    readonly callerBudget: BodyBudget;
    readonly forwardedBudget: BodyBudget;

    private constructor(private readonly clock: Clock, changes: Partial<ListenerLimits>) {
        this.limits = { ...defaultListenerLimits(), ...changes };
        this.stalledCallers = StalledSenders.create(clock);
        this.stalledPeers = StalledSenders.create(clock);
        const { heldBytes } = this.limits;
        this.callerBudget = BodyBudget.createForCallers(heldBytes, () => this.stalledCallers.giveUpOldest());
        this.forwardedBudget = BodyBudget.createForForwarded(heldBytes, () => this.stalledPeers.giveUpOldest());
    }

    static create(clock: Clock, changes: Partial<ListenerLimits> = {}): NodeLimits {
        return new NodeLimits(clock, changes);
    }

    /** Options of the guard of a listener. */
    guardOf(listener: ListenerName, reports: LimitReports): ListenerGuardOptions {
        const { limits, clock, stalledCallers } = this;
        const isForCallers = listener === "callers";
        return {
            clock,
            limits,
            maximumConnections: isForCallers ? limits.connections : limits.statusConnections,
            budget: this.callerBudget,
            stalled: stalledCallers,
            takesBodies: isForCallers,
            onLimit: limit => this.report(listener, limit, reports),
        };
    }

    /** Counts and logs that a limit was met. */
    report(listener: ListenerName, limit: MetLimit, { log, metrics }: LimitReports): void {
        metrics.recordLimit(listener, limit);
        log.decision("caller-limit-met", { listener, limit });
    }
}
