/**
 * What a node knows of the servers of one service together: their median service time, and how full those of its own
 * failure domain are. Computed anew a few times a second and not at each choice, because it reads all servers.
 */
import { OverflowPlan } from "./overflow-plan.js";
import type { KnownServer } from "./server-directory.js";
import { loadWeight } from "./server-observation.js";
import type { ServerObservation } from "./server-observation.js";

/** Time for which the figures are used. */
const REFRESH_INTERVAL_MS = 50;
/** Sum of the weights of the reports below which they say nothing of the domain: one report of a second ago. */
const MINIMUM_WEIGHT = 0.25;

/** Utilization below which another domain has room. */
const ROOM_UTILIZATION = 0.75;
/** A fuller one has room if it is less full than the local domain by more than this; smaller differences are noise. */
const ROOM_MARGIN = 0.1;

/** Load of the servers of a failure domain, as a sum weighted by the age of the reports. */
interface DomainLoad {
    weight: number;
    work: number;
    slots: number;
}

/** A domain whose overflow to other domains began or ended. */
export interface OverflowChange {
    readonly service: string;
    readonly hasBegun: boolean;
    /** Fraction of the slots of the domain's servers that is in use. */
    readonly utilization: number;
}

/** Figures of one service. */
export class ServiceLoadView {
    private medianMs = 0;
    private refreshedAtMs = -Infinity;
    /** Utilization of the failure domains of which there are reports. */
    private readonly utilizations = new Map<string, number>();
    private localUtilization: number | undefined;
    private readonly plan = OverflowPlan.create();

    private constructor(
        private readonly service: string,
        private readonly onOverflowChange: (change: OverflowChange) => void,
    ) {}

    static create(service: string, onOverflowChange: (change: OverflowChange) => void): ServiceLoadView {
        return new ServiceLoadView(service, onOverflowChange);
    }

    /** Median of the reported service times; 0 if none is known. */
    get medianServiceMs(): number {
        return this.medianMs;
    }

    /** Whether reports show how full the servers of the local failure domain are. */
    get hasReports(): boolean {
        return this.localUtilization !== undefined;
    }

    /** Fraction of the requests that goes to other failure domains. */
    get overflowFraction(): number {
        return this.plan.fraction;
    }

    /** Utilization of a failure domain's servers; 0 if there are no reports of it. */
    utilizationOf(failureDomain: string): number {
        return this.utilizations.get(failureDomain) ?? 0;
    }

    /** Whether another failure domain has room, or is not known to be full. */
    hasRoom(failureDomain: string): boolean {
        const utilization = this.utilizations.get(failureDomain);
        return utilization === undefined ||
            utilization < Math.max(ROOM_UTILIZATION, (this.localUtilization ?? 0) - ROOM_MARGIN);
    }

    /** Computes the figures anew if they are no longer current. */
    refresh(
        servers: readonly KnownServer[],
        failureDomain: string,
        observationOf: (server: KnownServer) => ServerObservation,
        nowMs: number,
    ): void {
        if (nowMs - this.refreshedAtMs < REFRESH_INTERVAL_MS) {
            return;
        }
        this.refreshedAtMs = nowMs;
        const serviceTimesMs: number[] = [];
        const domains = new Map<string, DomainLoad>();
        for (const server of servers) {
            const observation = observationOf(server);
            if (observation.serviceMs > 0) {
                serviceTimesMs.push(observation.serviceMs);
            }
            if (observation.loadAtMs > -Infinity) {
                addLoad(domains, server.failureDomain, observation, loadWeight(observation, nowMs));
            }
        }
        this.medianMs = median(serviceTimesMs);
        this.utilizations.clear();
        domains.forEach(({ weight, work, slots }, domain) => {
            if (weight >= MINIMUM_WEIGHT) {
                this.utilizations.set(domain, work / slots);
            }
        });
        this.localUtilization = this.utilizations.get(failureDomain);
        const utilization = this.localUtilization ?? 0;
        if (this.plan.update(utilization, nowMs)) {
            this.onOverflowChange({ service: this.service, hasBegun: this.plan.hasBegun, utilization });
        }
    }
}

function addLoad(
    domains: Map<string, DomainLoad>,
    domain: string,
    { othersInFlight, localInFlight, limit }: ServerObservation,
    weight: number,
): void {
    const sum = domains.get(domain) ?? { weight: 0, work: 0, slots: 0 };
    sum.weight += weight;
    sum.work += weight * (othersInFlight + localInFlight);
    sum.slots += weight * limit;
    domains.set(domain, sum);
}

function median(values: number[]): number {
    values.sort((left, right) => left - right);
    return values[values.length >> 1] ?? 0;
}
