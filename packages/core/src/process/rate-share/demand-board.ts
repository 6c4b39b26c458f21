/**
 * How much is asked for each organisation, as far as this node knows.
 */
import type { Clock } from "../clock.js";
import { DemandMeter } from "./demand-meter.js";

interface Report {
    readonly perSecond: number;
    readonly endsMs: number;
}

const REPORT_LIFE_MS = 1_500;

/** Requests per second of one organisation by where they enter. */
interface OrganisationDemand {
    readonly own: DemandMeter;
    /** By entry node of the own failure domain. */
    readonly entries: Map<string, Report>;
    /** By collector of another failure domain. */
    readonly collectors: Map<string, Report>;
}

/** Demand of one second that varies by less than this around the rate is no evidence against an organisation. */
const OVER_RATE_FACTOR = 1.2;

/** Whether a measured demand shows that an organisation is over its rate. */
export function isOverRate(demandPerSecond: number, ratePerSecond: number): boolean {
    return demandPerSecond > ratePerSecond * OVER_RATE_FACTOR;
}

/** Demand at this node, at entry nodes that ask it for grants, and at other failure domains that ask it for shares. */
export class DemandBoard {
    private readonly organisations = new Map<string, OrganisationDemand>();

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): DemandBoard {
        return new DemandBoard(clock);
    }

    /** Counts a request that entered here. */
    count(organisation: string): void {
        this.demandOf(organisation).own.count(this.clock.nowMs());
    }

    /** Takes over what an entry node of the own failure domain reports. */
    reportEntry(organisation: string, entry: string, perSecond: number): void {
        this.demandOf(organisation).entries.set(entry, this.createReport(perSecond));
    }

    /** Takes over what a collector reports of another failure domain. */
    reportFailureDomain(organisation: string, collector: string, perSecond: number): void {
        this.demandOf(organisation).collectors.set(collector, this.createReport(perSecond));
    }

    /** Requests per second that enter at this node. */
    ofNode(organisation: string): number {
        return this.organisations.get(organisation)?.own.perSecond(this.clock.nowMs()) ?? 0;
    }

    /** Requests per second that enter the own failure domain, at the collector. */
    ofFailureDomain(organisation: string): number {
        return this.ofNode(organisation) + this.sum(this.organisations.get(organisation)?.entries);
    }

    /** Requests per second of all failure domains that are known here; a lower bound. */
    ofFleet(organisation: string): number {
        return this.ofFailureDomain(organisation) + this.sum(this.organisations.get(organisation)?.collectors);
    }

    /** Nodes of the own failure domain where an organisation's requests enter, this one included; at least 1. */
    entryNodes(organisation: string): number {
        const nowMs = this.clock.nowMs();
        const entries = this.organisations.get(organisation)?.entries.values() ?? [];
        const others = [...entries].filter(report => report.endsMs > nowMs && report.perSecond > 0).length;
        return Math.max(1, others + (this.ofNode(organisation) > 0 ? 1 : 0));
    }

    /** Organisations that anything was heard of. */
    names(): string[] {
        return [...this.organisations.keys()];
    }

    private createReport(perSecond: number): Report {
        return { perSecond, endsMs: this.clock.nowMs() + REPORT_LIFE_MS };
    }

    private sum(reports: Map<string, Report> | undefined): number {
        const nowMs = this.clock.nowMs();
        let sum = 0;
        for (const [name, report] of reports ?? []) {
            if (report.endsMs > nowMs) {
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
            demand = { own: DemandMeter.create(this.clock.nowMs()), entries: new Map(), collectors: new Map() };
            this.organisations.set(organisation, demand);
        }
        return demand;
    }
}
