/**
 * Distributes load reports between the nodes that send requests to one service.
 *
 * Handles nodes that send a service few requests and learn little from their own outcomes. A request carries a few of
 * the sender's freshest reports of other servers of its service, and an outcome some of those that its sender was told:
 * the nodes beside the servers collect what all callers know. The number of reports that a node sends is bounded for each
 * link and in all, whatever the number of hosts and requests. The age of a report grows on its way and never decreases.
 */
import type { Clock } from "@radishrouter/core";
import { TokenBucket } from "@radishrouter/core";
import type { LoadBalancer } from "./load-balancer.js";
import type { KnownServer } from "./server-directory.js";
import type { LoadReport } from "./server-observation.js";

/** Report of a server that a node was told or received itself. */
export interface RelayedReport extends LoadReport {
    /** Address of the server's host. */
    readonly address: string;
    /** Time since the node on that host sent the report, in whole ms, never less than the true time. */
    readonly ageMs: number;
}

/** Reports of servers of one service, in one message. */
export interface RelayedReports {
    readonly service: string;
    readonly reports: readonly RelayedReport[];
}

/** Collaborators. */
export interface ReportDistributionOptions {
    readonly clock: Clock;
    readonly balancer: LoadBalancer;
    readonly localAddress: string;
    readonly readyServers: (service: string) => readonly KnownServer[];
}

/** Reports in one message. */
const MAXIMUM_REPORTS = 3;
/** Age from which a report is not passed on: its load has lost three quarters of its weight. */
const MAXIMUM_AGE_MS = 1_000;
/** Shortest time between two messages with reports to one host. */
const MINIMUM_INTERVAL_MS = 100;
/** Reports that a node sends in a second: some 4 KB. */
const REPORTS_PER_SECOND = 100;
const BURST_REPORTS = 30;
/** Reports that are kept for hosts that were sent none for long, while others get messages at a high rate. */
const RESERVED_REPORTS = 24;
/** Time after which a host may be sent reports from the reserve. */
const RESERVE_AFTER_MS = 2_000;
/** Hosts whose last message is remembered; the one that was sent reports least recently is forgotten. */
const MAXIMUM_RECEIVERS = 1_024;

/** Reports that go out with requests and outcomes, and those that came in with them. */
export class ReportDistribution {
    /** Reports that were passed on, and those of other nodes that were used, since the start. */
    readonly counts = { sent: 0, used: 0 };
    /** When each host was last sent reports, the least recent first. */
    private readonly sentAtMs = new Map<string, number>();
    private readonly budget: TokenBucket;

    private constructor(private readonly options: ReportDistributionOptions) {
        this.budget = TokenBucket.create(options.clock, {
            ratePerSecond: REPORTS_PER_SECOND,
            burst: BURST_REPORTS,
            initialTokens: BURST_REPORTS,
        });
    }

    static create(options: ReportDistributionOptions): ReportDistribution {
        return new ReportDistribution(options);
    }

    /** The freshest reports of a service's servers for the host at an address; undefined if none is due. */
    take(service: string, receiver: string): RelayedReports | undefined {
        if (!this.isDue(receiver)) {
            return undefined;
        }
        const reports = this.freshestReports(service, receiver);
        if (reports.length === 0 || !this.budget.tryTake(reports.length)) {
            return undefined;
        }
        this.recordSent(receiver);
        this.counts.sent += reports.length;
        return { service, reports };
    }

    /** Uses reports of another node, which were `delayMs` on their way; what cannot be used is ignored. */
    apply(message: RelayedReports | undefined, delayMs: number): void {
        if (typeof message?.service !== "string" || !Array.isArray(message.reports)) {
            return;
        }
        const { balancer, localAddress, readyServers } = this.options;
        for (const report of (message.reports as readonly RelayedReport[]).slice(0, MAXIMUM_REPORTS)) {
            const server = isUsable(report) && report.address !== localAddress &&
                readyServers(message.service).find(({ hostAddress }) => hostAddress === report.address);
            if (server && balancer.applyRelayed(server, report, report.ageMs + Math.max(0, delayMs))) {
                this.counts.used++;
            }
        }
    }

    /** A host that got reports lately gets more only while the budget is nearly full. */
    private isDue(receiver: string): boolean {
        const idleMs = this.options.clock.nowMs() - (this.sentAtMs.get(receiver) ?? -Infinity);
        if (idleMs < MINIMUM_INTERVAL_MS) {
            return false;
        }
        const reserved = RESERVED_REPORTS * Math.max(0, 1 - idleMs / RESERVE_AFTER_MS);
        return this.budget.timeUntilAvailableMs(MAXIMUM_REPORTS + reserved) === 0;
    }

    private freshestReports(service: string, receiver: string): readonly RelayedReport[] {
        const { balancer, readyServers } = this.options;
        const freshest: RelayedReport[] = [];
        for (const { hostAddress } of readyServers(service)) {
            const known = hostAddress === receiver ? undefined : balancer.knownLoad(hostAddress);
            if (known && known.ageMs < (freshest[MAXIMUM_REPORTS - 1]?.ageMs ?? MAXIMUM_AGE_MS)) {
                freshest.push({ address: hostAddress, ...known.report, ageMs: Math.ceil(known.ageMs) });
                freshest.sort((left, right) => left.ageMs - right.ageMs);
                freshest.length = Math.min(freshest.length, MAXIMUM_REPORTS);
            }
        }
        return freshest;
    }

    private recordSent(receiver: string): void {
        this.sentAtMs.delete(receiver);
        this.sentAtMs.set(receiver, this.options.clock.nowMs());
        if (this.sentAtMs.size > MAXIMUM_RECEIVERS) {
            this.sentAtMs.delete(this.sentAtMs.keys().next().value!);
        }
    }
}

function isUsable(report: Partial<RelayedReport> | undefined): report is RelayedReport {
    const load = report?.load;
    return typeof report?.address === "string" && isFigure(report.ageMs) && typeof load === "object" &&
        isFigure(load?.open) && isFigure(load.waiting) && isFigure(load.limit) &&
        isFigure(report.serviceMs ?? 0) && isFigure(report.slownessPercent ?? 0);
}

function isFigure(value: unknown): boolean {
    return typeof value === "number" && value >= 0 && Number.isFinite(value);
}
