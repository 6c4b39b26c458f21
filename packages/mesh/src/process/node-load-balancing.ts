/**
 * Load balancing of one node: the choice of servers, the speed of the local one, and the reports to and from other nodes.
 */
import type { Clock } from "@radishrouter/core";
import { LoadBalancer } from "./load-balancer.js";
import type { LoadBalancingFigures } from "./mesh-metrics.js";
import type { CallPressure } from "./overload-signal.js";
import { ReportDistribution } from "./report-distribution.js";
import type { RelayedReports } from "./report-distribution.js";
import type { RequestLog } from "./request-log.js";
import type { StatedLoad } from "./server-condition.js";
import type { ServerDirectory } from "./server-directory.js";
import type { ServerGate } from "./server-gate.js";
import type { ServerReport } from "./server-observation.js";
import { ServerSpeed } from "./server-speed.js";
import type { OverflowChange } from "./service-load-view.js";

/** Collaborators and settings. */
export interface NodeLoadBalancingOptions {
    readonly clock: Clock;
    readonly log: RequestLog;
    readonly directory: ServerDirectory;
    readonly gate: ServerGate;
    readonly onwardPressure: CallPressure;
    readonly hostAddress: string;
}

/** Components of one node's load balancing. */
export class NodeLoadBalancing {
    readonly balancer: LoadBalancer;
    /** Speed of the local server. */
    readonly speed: ServerSpeed;
    readonly distribution: ReportDistribution;

    private constructor(private readonly options: NodeLoadBalancingOptions) {
        const { clock, directory, hostAddress } = options;
        this.speed = ServerSpeed.create(clock);
        this.balancer = LoadBalancer.create(clock, Math.random, change => this.logOverflow(change));
        this.distribution = ReportDistribution.create({
            clock,
            balancer: this.balancer,
            localAddress: hostAddress,
            readyServers: service => directory.readyServers(service),
        });
    }

    static create(options: NodeLoadBalancingOptions): NodeLoadBalancing {
        return new NodeLoadBalancing(options);
    }

    /** Figures for metrics. */
    figures(): LoadBalancingFigures {
        return { speed: this.speed, choices: this.balancer.counts, distributedReports: this.distribution.counts };
    }

    /** Applies what the node at an address reported `delayMs` ago of the server on its host and of other servers. */
    applyPeerReport(
        address: string,
        report: ServerReport & { readonly others?: RelayedReports; },
        delayMs: number,
    ): void {
        this.balancer.report(address, report, delayMs);
        this.distribution.apply(report.others, delayMs);
    }

    /** Applies the load that the local server stated in a response; the request of that response still has its slot. */
    applyStated(instance: string, stated: StatedLoad | undefined): void {
        const { gate, onwardPressure, hostAddress } = this.options;
        const { open, ...load } = gate.load();
        this.speed.recordStated(instance, stated, open);
        this.balancer.report(hostAddress, {
            load: { ...load, open: Math.max(0, open - 1) },
            onwardPressure: onwardPressure.current(),
            rateShare: gate.rateShare(),
            ...this.speed.report(),
        });
    }

    /** Applies the load of the local server after its limit has changed; other nodes learn it with their responses. */
    reportLocalLoad(): void {
        const { gate, onwardPressure, hostAddress } = this.options;
        this.balancer.report(hostAddress, {
            load: gate.load(),
            onwardPressure: onwardPressure.current(),
            rateShare: gate.rateShare(),
            ...this.speed.report(),
        });
    }

    private logOverflow({ service, hasBegun, utilization }: OverflowChange): void {
        const fields = { service, utilization: Math.round(utilization * 100) / 100 };
        this.options.log.decision(hasBegun ? "overflow-begun" : "overflow-ended", fields);
    }
}
