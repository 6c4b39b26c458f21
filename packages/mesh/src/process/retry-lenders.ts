/**
 * Which nodes lend retries of a service, and whom of them a node asks.
 *
 * The lenders are the first nodes in an order by rendezvous hash that all nodes know, as many as retries may move. That
 * bounds how many retries can be used away from the nodes that would have had them, whoever needs them. In a large fleet a
 * node asks a few of them only, so that no lender is asked by more nodes than it can have links with.
 */
import { highestScoringNames } from "@radishrouter/core";
import type { Clock } from "@radishrouter/core";
import type { FleetView } from "./fleet-view.js";
import type { FleetHost } from "./relay-tree.js";
import { RESERVE_FRACTION_PER_HOP } from "./service-retry-budget.js";
import type { RetryBudgetLimits } from "./service-retry-budget.js";

/** Collaborators and settings. */
export interface RetryLendersOptions {
    readonly clock: Clock;
    readonly limits: RetryBudgetLimits;
    readonly fleet: FleetView;
    readonly localAddress: string;
}

/** Lenders of one service, as one node sees them. */
interface ServiceLenders {
    /** List of hosts that they follow from. */
    readonly hosts: readonly FleetHost[];
    readonly derivedAtMs: number;
    readonly isLocal: boolean;
    /** Lenders that this node asks, in its own order. */
    readonly asked: readonly string[];
}

/** Nodes that ask one lender, at most; each needs a link. */
const MAXIMUM_BORROWERS = 1_000;
/** Questions a second that a lender gets at most from nodes that it has given none. */
const MAXIMUM_EMPTY_QUESTIONS_PER_SECOND = 50;
const MS_PER_SECOND = 1_000;
/**
 * Time for each host of the list for which lenders are used although the list has changed. Deriving them takes 11 to 24 ms for
 * 28,000 hosts, and lenders that are out of date cost questions without an answer only.
 */
const LIFETIME_MS_PER_HOST = 1;
const MINIMUM_AVOIDANCE_MS = 2_000;

/** Lenders by service; derived anew after the list of hosts has changed. */
export class RetryLenders {
    private readonly byService = new Map<string, ServiceLenders>();

    private constructor(private readonly options: RetryLendersOptions) {}

    static create(options: RetryLendersOptions): RetryLenders {
        return new RetryLenders(options);
    }

    /** Lenders of a service that this node asks, in its own order so that nodes do not all ask the same one first. */
    askedBy(service: string): readonly string[] {
        return this.lendersOf(service).asked;
    }

    /** Whether this node lends retries of a service. */
    isLender(service: string): boolean {
        return this.lendersOf(service).isLocal;
    }

    /** Time for which a lender that had none is not asked again; grows with the nodes that ask it. */
    get avoidanceMs(): number {
        const borrowers = Math.min(MAXIMUM_BORROWERS, this.options.fleet.hosts.length);
        return Math.max(MINIMUM_AVOIDANCE_MS, borrowers / MAXIMUM_EMPTY_QUESTIONS_PER_SECOND * MS_PER_SECOND);
    }

    private lendersOf(service: string): ServiceLenders {
        const { fleet: { hosts }, clock } = this.options;
        const known = this.byService.get(service);
        if (
            known && (known.hosts === hosts || clock.nowMs() - known.derivedAtMs < hosts.length * LIFETIME_MS_PER_HOST)
        ) {
            return known;
        }
        const lenders = this.deriveLenders(service, hosts);
        this.byService.set(service, lenders);
        return lenders;
    }

    private deriveLenders(service: string, hosts: readonly FleetHost[]): ServiceLenders {
        const { limits, localAddress, clock } = this.options;
        const count = Math.floor(limits.reserve * RESERVE_FRACTION_PER_HOP);
        const addresses = hosts.map(({ address }) => address);
        const lenders = highestScoringNames(service, addresses, Math.min(count, addresses.length));
        const others = lenders.filter(address => address !== localAddress);
        const askedCount = Math.max(1, Math.floor(MAXIMUM_BORROWERS * lenders.length / Math.max(1, hosts.length)));
        return {
            hosts,
            derivedAtMs: clock.nowMs(),
            isLocal: lenders.length > others.length,
            asked: highestScoringNames(
                `${service} ${localAddress}`,
                others,
                Math.min(askedCount, others.length),
            ),
        };
    }
}
