/**
 * Lends shares: that of the local seat to the collector of the local failure domain, and collected shares to collectors
 * of other failure domains.
 */
import { create } from "@bufbuild/protobuf";
import { LeaseAnswerSchema, LeasedRangeSchema, LeasedShareSchema } from "@radishrouter/protocol";
import type { LeasedShare, LeaseRequest, LeaseReturn, ShareDemand } from "@radishrouter/protocol";
import type { ReceivedMessage } from "../../connection/control-transport.js";
import type { Borrower } from "./loan-book.js";
import { isCollectorOf } from "./share-context.js";
import type { ShareContext } from "./share-context.js";
import type { OrganisationShare } from "./share-state.js";
import { lenderDurationMs } from "./share-timings.js";

/** Fraction of the collected shares that a collector never lends, so that its failure domain always has some. */
const MINIMUM_RETAINED_FRACTION = 0.02;
/** Multiple of the measured demand that shares are sized for. */
export const DEMAND_HEADROOM = 1.2;

interface LoanTerms {
    readonly borrower: Borrower;
    readonly requestId: bigint;
    /** Expiry of the loan by the lender's clock, including all grants that the borrower may make from it. */
    readonly expiresAtMs: number;
}

interface LastRequest {
    readonly incarnation: bigint;
    readonly requestId: bigint;
}

interface RecentRequest {
    readonly fraction: number;
    readonly expiresAtMs: number;
}

/** Answers lease requests; times each loan from when it answers. */
export class ShareLender {
    private readonly lastRequests = new Map<string, LastRequest>();
    /** Recent requests of collectors of other failure domains, by organisation and then by host. */
    private readonly recentRequests = new Map<string, Map<string, RecentRequest>>();

    private constructor(private readonly context: ShareContext) {}

    static create(context: ShareContext): ShareLender {
        return new ShareLender(context);
    }

    /** Answers one request; duplicate and out-of-order requests are ignored. */
    answer(received: ReceivedMessage, request: LeaseRequest): void {
        const { timings, clock, transport, guard } = this.context;
        const { sender, incarnation } = received;
        if (!request.claim || request.durationMs > timings.leaseMs || request.grantMs > timings.grantMs) {
            return;
        }
        const claimed = { failureDomain: request.claim.failureDomain, number: request.claim.seat };
        const superseding = guard.recordClaim({ host: sender, incarnation }, claimed);
        if (!this.isNewRequest(received, request.requestId)) {
            return;
        }
        const terms: LoanTerms = {
            borrower: { host: sender, incarnation },
            requestId: request.requestId,
            expiresAtMs: clock.nowMs() + lenderDurationMs(timings, request.durationMs + request.grantMs),
        };
        const isSameFailureDomain = claimed.failureDomain === this.context.seat.failureDomain;
        const mayLend = superseding === 0n;
        const ranges = mayLend && isSameFailureDomain ? request.ranges : [];
        const demands = mayLend && !isSameFailureDomain ? request.demands : [];
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

    /** Ends loans that the borrower returned, as soon as no grant or loan made from them can be in use. */
    applyReturn(received: ReceivedMessage, message: LeaseReturn): void {
        const { clock, timings, state } = this.context;
        const borrower = { host: received.sender, incarnation: received.incarnation };
        const expiresAtMs = clock.nowMs() + lenderDurationMs(timings, message.remainingMs);
        this.isNewRequest(received, message.upToRequestId);
        for (const range of message.ranges) {
            state.rangeShare(range)?.loans.shorten(borrower, message.upToRequestId, expiresAtMs);
            for (const share of state.refilledRange(range)) {
                share.loans.shorten(borrower, message.upToRequestId, expiresAtMs);
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

    /** Lends the local seat's share of a range; returns the fraction, or 0 if it cannot be lent now. */
    private lendRange(range: number, terms: LoanTerms): number {
        const { clock, guard, state } = this.context;
        const rangeShare = state.rangeShare(range);
        const nowMs = clock.nowMs();
        const isAssignedCollector = this.context.assignment().collectorOf(this.context.seat.failureDomain, range) ===
            terms.borrower.host;
        const fraction = state.seatFraction;
        if (!rangeShare || !isAssignedCollector || fraction === 0 || guard.readyAtMs > nowMs) {
            return 0;
        }
        if (rangeShare.loans.isLentToOther(terms.borrower, nowMs)) {
            return 0;
        }
        const isRenewal = rangeShare.loans.lentAt(nowMs) > 0;
        const shares = isRenewal ? [] : state.refilledRange(range);
        if (shares.some(share => this.isInUse(share, fraction))) {
            return 0;
        }
        rangeShare.loans.add(terms.borrower, terms.requestId, fraction, terms.expiresAtMs);
        return fraction;
    }

    /** Whether grants or loans that this node made may still use the local seat's share. */
    private isInUse(share: OrganisationShare, fraction: number): boolean {
        const nowMs = this.context.clock.nowMs();
        const limits = this.context.state.limitsOf(share.organisation);
        const remainingFraction = this.context.state.fractionDuring(share, nowMs, nowMs) - fraction;
        const outstanding = share.pool.outstandingTokens(nowMs);
        return share.loans.lentAt(nowMs) > 0 ||
            (outstanding > 0 && outstanding > remainingFraction * (limits?.burst ?? 0));
    }

    /** Lends a fraction of the collected shares of one organisation. */
    private lendShare(demand: ShareDemand, terms: LoanTerms): LeasedShare {
        const { organisation } = demand;
        const share = this.context.state.refilledShare(organisation);
        if (!share || !isCollectorOf(this.context, share.range.range)) {
            return create(LeasedShareSchema, { organisation, fraction: 0 });
        }
        this.context.demand.recordFailureDomainDemand(organisation, terms.borrower.host, demand.demandPerSecond);
        const fraction = this.lendableFraction(share, demand, terms);
        if (fraction > 0) {
            share.loans.add(terms.borrower, terms.requestId, fraction, terms.expiresAtMs);
        }
        return create(LeasedShareSchema, { organisation, fraction });
    }

    /**
     * Fraction to lend for a request: limited by the unneeded shares, by leases that outlast the loan, and by the burst
     * that outstanding grants leave.
     */
    private lendableFraction(share: OrganisationShare, demand: ShareDemand, terms: LoanTerms): number {
        const { clock, state, timings } = this.context;
        const nowMs = clock.nowMs();
        const limits = state.limitsOf(share.organisation)!;
        const alreadyLent = share.loans.lentTo(terms.borrower, nowMs);
        const lentToOthers = share.loans.lentAt(nowMs) - alreadyLent;
        const collected = state.collectedDuring(share.range, nowMs, nowMs);
        const backing = state.collectedDuring(share.range, nowMs, terms.expiresAtMs - timings.grantMs);
        const needed = this.context.demand.failureDomainDemand(share.organisation) * DEMAND_HEADROOM /
            limits.ratePerSecond;
        const freeFraction = Math.max(
            0,
            collected - Math.max(MINIMUM_RETAINED_FRACTION * collected, Math.min(collected, needed)),
        );
        const fairFraction = freeFraction *
            this.fractionOfRecentRequests(share.organisation, terms.borrower.host, demand.fraction);
        const unspentFraction = state.fractionDuring(share, nowMs, nowMs) + alreadyLent -
            share.pool.outstandingTokens(nowMs) / limits.burst;
        return Math.max(0, Math.min(demand.fraction, fairFraction, backing - lentToOthers, unspentFraction));
    }

    /** Records a collector's request; returns the ratio of its requested fraction to the sum of all recent requests. */
    private fractionOfRecentRequests(organisation: string, host: string, fraction: number): number {
        const nowMs = this.context.clock.nowMs();
        const requests = this.recentRequests.get(organisation) ?? new Map<string, RecentRequest>();
        this.recentRequests.set(organisation, requests);
        requests.set(host, { fraction, expiresAtMs: nowMs + 2 * this.context.timings.subleaseRenewMs });
        let sum = 0;
        for (const [name, request] of requests) {
            if (request.expiresAtMs < nowMs) {
                requests.delete(name);
            }
            else {
                sum += request.fraction;
            }
        }
        return sum > 0 ? fraction / sum : 0;
    }
}
