/**
 * Lends shares: of the own seat to the collector of the own failure domain, and of what was collected to collectors of
 * other failure domains.
 */
import { create } from "@bufbuild/protobuf";
import { LeaseAnswerSchema, LeasedRangeSchema, LeasedShareSchema } from "@radishrouter/protocol";
import type { LeasedShare, LeaseRequest, LeaseReturn, ShareDemand } from "@radishrouter/protocol";
import type { ReceivedMessage } from "../../connection/control-transport.js";
import type { Borrower } from "./loan-book.js";
import { isCollector } from "./share-context.js";
import type { ShareContext } from "./share-context.js";
import type { OrganisationShare } from "./share-state.js";
import { lenderDurationMs } from "./share-timings.js";

/** A collector keeps at least this part of what it collected, so that its own failure domain never starts empty. */
const KEPT_FRACTION = 0.02;
/** Shares are sized for this multiple of the measured demand. */
export const DEMAND_HEADROOM = 1.2;

interface Terms {
    readonly borrower: Borrower;
    readonly requestId: bigint;
    /** End of the loan by the lender's clock, with all grants that the borrower may give. */
    readonly endsMs: number;
}

interface LastRequest {
    readonly incarnation: bigint;
    readonly requestId: bigint;
}

interface Wish {
    readonly fraction: number;
    readonly endsMs: number;
}

/** Answers lease requests; counts each loan from when it answers. */
export class ShareLender {
    private readonly lastRequests = new Map<string, LastRequest>();
    /** What collectors of other failure domains asked for lately, by organisation. */
    private readonly wishes = new Map<string, Map<string, Wish>>();

    private constructor(private readonly context: ShareContext) {}

    static create(context: ShareContext): ShareLender {
        return new ShareLender(context);
    }

    /** Answers one request; a request that came twice or late is ignored. */
    answer(received: ReceivedMessage, request: LeaseRequest): void {
        const { timings, clock, transport, guard } = this.context;
        const { sender, incarnation } = received;
        if (!request.claim || request.durationMs > timings.leaseMs || request.grantMs > timings.grantMs) {
            return;
        }
        const claimed = { failureDomain: request.claim.failureDomain, number: request.claim.seat };
        const superseding = guard.noteClaim({ host: sender, incarnation }, claimed);
        if (!this.isNewRequest(received, request.requestId)) {
            return;
        }
        const terms: Terms = {
            borrower: { host: sender, incarnation },
            requestId: request.requestId,
            endsMs: clock.nowMs() + lenderDurationMs(timings, request.durationMs + request.grantMs),
        };
        const isNear = claimed.failureDomain === this.context.seat.failureDomain;
        const mayLend = superseding === 0n;
        const ranges = mayLend && isNear ? request.ranges : [];
        const demands = mayLend && !isNear ? request.demands : [];
        const value = create(LeaseAnswerSchema, {
            requestId: request.requestId,
            askerIncarnation: incarnation,
            ranges: ranges.map(range => create(LeasedRangeSchema, { range, fraction: this.lendRange(range, terms) })),
            shares: demands.map(demand => this.lendShare(demand, terms)),
            supersedingIncarnation: superseding,
            seatless: this.context.state.isSeatless,
        });
        transport.send(sender, { case: "leaseAnswer", value });
    }

    /** Ends loans that the borrower gave back as soon as nothing given from them can be in use. */
    takeBack(received: ReceivedMessage, message: LeaseReturn): void {
        const { clock, timings, state } = this.context;
        const borrower = { host: received.sender, incarnation: received.incarnation };
        const endsMs = clock.nowMs() + lenderDurationMs(timings, message.remainingMs);
        this.isNewRequest(received, message.upToRequestId);
        for (const range of message.ranges) {
            state.rangeShare(range)?.loans.shorten(borrower, message.upToRequestId, endsMs);
            for (const share of state.settledRange(range)) {
                share.loans.shorten(borrower, message.upToRequestId, endsMs);
            }
        }
    }

    private isNewRequest({ sender, incarnation }: ReceivedMessage, requestId: bigint): boolean {
        const last = this.lastRequests.get(sender);
        const isOld = last &&
            (incarnation < last.incarnation || (incarnation === last.incarnation && requestId <= last.requestId));
        if (!isOld) {
            this.lastRequests.set(sender, { incarnation, requestId });
        }
        return !isOld;
    }

    /** Lends the own seat's share of a range; returns the fraction, which is 0 when it cannot be lent now. */
    private lendRange(range: number, terms: Terms): number {
        const { clock, guard, state } = this.context;
        const rangeShare = state.rangeShare(range);
        const nowMs = clock.nowMs();
        const isChosen = this.context.choice().collectorOf(this.context.seat.failureDomain, range) ===
            terms.borrower.host;
        const fraction = state.seatFraction;
        if (!rangeShare || !isChosen || fraction === 0 || guard.readyMs > nowMs) {
            return 0;
        }
        if (rangeShare.loans.isLentToOther(terms.borrower, nowMs)) {
            return 0;
        }
        const isRenewal = rangeShare.loans.lentAt(nowMs) > 0;
        const shares = isRenewal ? [] : state.settledRange(range);
        if (shares.some(share => this.isInUse(share, fraction))) {
            return 0;
        }
        rangeShare.loans.add(terms.borrower, terms.requestId, fraction, terms.endsMs);
        return fraction;
    }

    /** Whether grants or loans that this node gave may still draw on its own seat's share. */
    private isInUse(share: OrganisationShare, fraction: number): boolean {
        const nowMs = this.context.clock.nowMs();
        const limits = this.context.state.limitsOf(share.organisation);
        const rest = this.context.state.fractionOver(share, nowMs, nowMs) - fraction;
        const open = share.pool.openTokens(nowMs);
        return share.loans.lentAt(nowMs) > 0 || (open > 0 && open > rest * (limits?.burst ?? 0));
    }

    /** Lends a part of what was collected for one organisation. */
    private lendShare(demand: ShareDemand, terms: Terms): LeasedShare {
        const { organisation } = demand;
        const share = this.context.state.settled(organisation);
        if (!share || !isCollector(this.context, share.range.range)) {
            return create(LeasedShareSchema, { organisation, fraction: 0 });
        }
        this.context.demand.reportFailureDomain(organisation, terms.borrower.host, demand.demandPerSecond);
        const fraction = this.lendableTo(share, demand, terms);
        if (fraction > 0) {
            share.loans.add(terms.borrower, terms.requestId, fraction, terms.endsMs);
        }
        return create(LeasedShareSchema, { organisation, fraction });
    }

    private lendableTo(share: OrganisationShare, demand: ShareDemand, terms: Terms): number {
        const { clock, state, timings } = this.context;
        const nowMs = clock.nowMs();
        const limits = state.limitsOf(share.organisation)!;
        const formerly = share.loans.lentTo(terms.borrower, nowMs);
        const lentToOthers = share.loans.lentAt(nowMs) - formerly;
        const collected = state.collectedOver(share.range, nowMs, nowMs);
        const backing = state.collectedOver(share.range, nowMs, terms.endsMs - timings.grantMs);
        const need = this.context.demand.ofFailureDomain(share.organisation) * DEMAND_HEADROOM / limits.ratePerSecond;
        const free = Math.max(0, collected - Math.max(KEPT_FRACTION * collected, Math.min(collected, need)));
        const part = free * this.partOfWishes(share.organisation, terms.borrower.host, demand.fraction);
        const unspent = state.fractionOver(share, nowMs, nowMs) + formerly -
            share.pool.openTokens(nowMs) / limits.burst;
        return Math.max(0, Math.min(demand.fraction, part, backing - lentToOthers, unspent));
    }

    /** Part of what is free that falls to one of the collectors that asked lately. */
    private partOfWishes(organisation: string, host: string, fraction: number): number {
        const nowMs = this.context.clock.nowMs();
        const wishes = this.wishes.get(organisation) ?? new Map<string, Wish>();
        this.wishes.set(organisation, wishes);
        wishes.set(host, { fraction, endsMs: nowMs + 2 * this.context.timings.subleaseRenewMs });
        let sum = 0;
        for (const [name, wish] of wishes) {
            if (wish.endsMs < nowMs) {
                wishes.delete(name);
            }
            else {
                sum += wish.fraction;
            }
        }
        return sum > 0 ? fraction / sum : 0;
    }
}
