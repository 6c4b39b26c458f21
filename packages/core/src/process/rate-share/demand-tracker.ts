/**
 * Tracks the request rate (demand) of each organisation, as far as this node knows it.
 */
import type { Clock } from "../clock.js";
import { DemandMeter } from "./demand-meter.js";

interface DemandReport {
    readonly perSecond: number;
    readonly expiresAtMs: number;
}

const REPORT_LIFETIME_MS = 1_500;

/** Requests per second of one organisation, by where they enter. */
interface OrganisationDemand {
    readonly local: DemandMeter;
    /** By entry node of the local failure domain. */
    readonly entries: Map<string, DemandReport>;
    /** By collector of other failure domains. */
    readonly collectors: Map<string, DemandReport>;
}

/** Demand measured over one second varies; up to this multiple of the rate it does not count as over the rate. */
const OVER_RATE_FACTOR = 1.2;

/** Whether the measured demand shows that an organisation is over its rate. */
export function isOverRate(demandPerSecond: number, ratePerSecond: number): boolean {
    return demandPerSecond > ratePerSecond * OVER_RATE_FACTOR;
}

/**
 * Tracks the demand at this node, at entry nodes that request grants from it, and in other failure domains that request
 * shares from it.
 */
export class DemandTracker {
    private readonly organisations = new Map<string, OrganisationDemand>();

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): DemandTracker {
        return new DemandTracker(clock);
    }

    /** Counts a request that entered at this node. */
    count(organisation: string): void {
        this.demandOf(organisation).local.count(this.clock.nowMs());
    }

    /** Records the demand that an entry node of the local failure domain reports. */
    recordEntryNodeDemand(organisation: string, entry: string, perSecond: number): void {
        this.demandOf(organisation).entries.set(entry, this.createReport(perSecond));
    }

    /** Records the demand that the collector of another failure domain reports. */
    recordFailureDomainDemand(organisation: string, collector: string, perSecond: number): void {
        this.demandOf(organisation).collectors.set(collector, this.createReport(perSecond));
    }

    /** Requests per second that enter at this node. */
    nodeDemand(organisation: string): number {
        return this.organisations.get(organisation)?.local.perSecond(this.clock.nowMs()) ?? 0;
    }

    /** Requests per second that enter the local failure domain; complete only at its collector. */
    failureDomainDemand(organisation: string): number {
        return this.nodeDemand(organisation) + this.sumUnexpired(this.organisations.get(organisation)?.entries);
    }

    /** Requests per second of all failure domains that this node knows of; a lower bound of the fleet-wide demand. */
    fleetDemand(organisation: string): number {
        return this.failureDomainDemand(organisation) +
            this.sumUnexpired(this.organisations.get(organisation)?.collectors);
    }

    /** Number of nodes of the local failure domain, including this one, where the requests enter; at least 1. */
    countEntryNodes(organisation: string): number {
        const nowMs = this.clock.nowMs();
        const entries = this.organisations.get(organisation)?.entries.values() ?? [];
        const others = [...entries].filter(report => report.expiresAtMs > nowMs && report.perSecond > 0).length;
        return Math.max(1, others + (this.nodeDemand(organisation) > 0 ? 1 : 0));
    }

    /** Organisations for which demand was counted or reported. */
    organisationNames(): string[] {
        return [...this.organisations.keys()];
    }

    private createReport(perSecond: number): DemandReport {
        return { perSecond, expiresAtMs: this.clock.nowMs() + REPORT_LIFETIME_MS };
    }

    private sumUnexpired(reports: Map<string, DemandReport> | undefined): number {
        const nowMs = this.clock.nowMs();
        let sum = 0;
        for (const [name, report] of reports ?? []) {
            if (report.expiresAtMs > nowMs) {
                sum += report.perSecond;
            }
            else {
                reports!.delete(name);
            }
        }
        return sum;
    }

    private demandOf(organisation: string): OrganisationDemand {
        let demand = this.organisations.get(organisation);
        if (!demand) {
            demand = { local: DemandMeter.create(this.clock.nowMs()), entries: new Map(), collectors: new Map() };
            this.organisations.set(organisation, demand);
        }
        return demand;
    }
}
