/**
 * Collects shares: it leases those of the local failure domain's seats, for the ranges that this node is the collector
 * of, and borrows from the collectors of other failure domains according to demand.
 */
import { create } from "@bufbuild/protobuf";
import { LeaseRequestSchema, LeaseReturnSchema, ShareDemandSchema } from "@radishrouter/protocol";
import type { LeaseAnswer, ShareDemand } from "@radishrouter/protocol";
import type { ReceivedMessage } from "../../connection/control-transport.js";
import { isCollectorOf, localSeatClaim } from "./share-context.js";
import type { ShareContext } from "./share-context.js";
import { DEMAND_HEADROOM } from "./share-lender.js";
import { RANGE_COUNT } from "./share-range.js";
import type { OrganisationShare } from "./share-state.js";

interface PendingRequest {
    readonly lender: string;
    /** Start of the lease duration: the time just before the request was sent. */
    readonly sentAtMs: number;
    readonly durationMs: number;
    readonly ranges: readonly number[];
    readonly organisations: readonly string[];
}

const SEATLESS_RETRY_MS = 10_000;
const MINIMUM_BORROWED_FRACTION = 1e-6;

/** Requests and renews shares; times each lease from before its request was sent. */
export class ShareCollector {
    private readonly pending = new Map<bigint, PendingRequest>();
    /** Times at which to ask hosts without a seat again, by host. */
    private readonly seatlessRetryAtMs = new Map<string, number>();
    private nextCollectMs = 0;
    private nextBorrowMs = 0;
    private hasMissingLeases = true;

    private constructor(private readonly context: ShareContext) {}

    static create(context: ShareContext): ShareCollector {
        return new ShareCollector(context);
    }

    /** Sends the requests and returns that are due; called at every tick. */
    tick(): void {
        const { clock, timings } = this.context;
        const nowMs = clock.nowMs();
        this.returnReassignedRanges();
        if (nowMs >= this.nextCollectMs) {
            this.removeExpired(nowMs);
            this.collect();
            this.nextCollectMs = nowMs + (this.hasMissingLeases ? timings.leaseRenewMs / 2 : timings.leaseRenewMs);
        }
        if (nowMs >= this.nextBorrowMs) {
            this.borrow();
            this.nextBorrowMs = nowMs + timings.subleaseRenewMs;
        }
    }

    /** Stores the leases that a lender granted. */
    accept(received: ReceivedMessage, answer: LeaseAnswer): void {
        const pending = this.pending.get(answer.requestId);
        if (!pending || pending.lender !== received.sender || answer.askerIncarnation !== this.context.incarnation) {
            return;
        }
        this.pending.delete(answer.requestId);
        if (answer.seatless) {
            this.seatlessRetryAtMs.set(received.sender, this.context.clock.nowMs() + SEATLESS_RETRY_MS);
        }
        const lease = {
            lender: received.sender,
            requestId: answer.requestId,
            expiresAtMs: pending.sentAtMs + pending.durationMs,
        };
        for (const { range, fraction } of answer.ranges.filter(({ range }) => pending.ranges.includes(range))) {
            this.storeRangeLease(range, { ...lease, fraction });
        }
        for (const { organisation, fraction } of answer.shares) {
            const share = this.context.state.refilledShare(organisation);
            if (share && pending.organisations.includes(organisation)) {
                share.borrowed.put({ ...lease, fraction });
            }
        }
    }

    /** Drops pending requests and sends new ones at the next tick, after a pause. */
    resetAfterPause(): void {
        this.pending.clear();
        this.nextCollectMs = 0;
        this.nextBorrowMs = 0;
    }

    /** Returns every lease; used at a planned stop. */
    returnAll(): void {
        this.returnRanges(Array.from({ length: RANGE_COUNT }, (_, range) => range));
    }

    private storeRangeLease(
        range: number,
        lease: { lender: string; requestId: bigint; expiresAtMs: number; fraction: number; },
    ): void {
        const { state, clock } = this.context;
        const rangeShare = state.rangeShare(range);
        if (!rangeShare) {
            return;
        }
        const isExtension = rangeShare.collected.from(lease.lender, clock.nowMs()) === lease.fraction;
        if (!isExtension) {
            state.refilledRange(range);
        }
        rangeShare.collected.put(lease);
    }

    private collect(): void {
        const { assignment, seat, ownName, state, clock, timings } = this.context;
        const nowMs = clock.nowMs();
        const ranges = this.assignedRanges();
        this.hasMissingLeases = false;
        if (ranges.length === 0) {
            return;
        }
        const lenders = assignment().hosts
            .filter(host => host.failureDomain === seat.failureDomain && host.name !== ownName)
            .filter(host => (this.seatlessRetryAtMs.get(host.name) ?? 0) <= nowMs);
        for (const { name } of lenders) {
            this.hasMissingLeases ||= ranges.some(range => state.rangeShare(range)!.collected.from(name, nowMs) === 0);
            this.request(name, timings.leaseMs, ranges, []);
        }
    }

    /** Requests the shares that the local failure domain lacks from other failure domains. */
    private borrow(): void {
        const { assignment, seat } = this.context;
        const others = assignment().failureDomains.filter(name => name !== seat.failureDomain);
        const demands = new Map<string, ShareDemand[]>();
        for (const organisation of this.context.demand.organisationNames()) {
            const share = this.context.state.refilledShare(organisation);
            if (share && isCollectorOf(this.context, share.range.range)) {
                this.addDemands(share, others, demands);
            }
        }
        for (const [host, wanted] of demands) {
            this.request(host, this.context.timings.subleaseMs, [], wanted);
        }
    }

    private addDemands(share: OrganisationShare, others: readonly string[], demands: Map<string, ShareDemand[]>): void {
        const { clock, state, demand, assignment } = this.context;
        const nowMs = clock.nowMs();
        const limits = state.limitsOf(share.organisation)!;
        const demandPerSecond = demand.failureDomainDemand(share.organisation);
        const needed = Math.min(1, demandPerSecond * DEMAND_HEADROOM / limits.ratePerSecond);
        const missing = needed - state.collectedDuring(share.range, nowMs, nowMs) - share.borrowed.heldAt(nowMs);
        for (const failureDomain of others) {
            const host = assignment().collectorOf(failureDomain, share.range.range);
            const fraction = host === undefined ? 0 : share.borrowed.from(host, nowMs) + missing / others.length;
            if (host === undefined || fraction < MINIMUM_BORROWED_FRACTION) {
                continue;
            }
            const wanted = demands.get(host) ?? [];
            wanted.push(
                create(ShareDemandSchema, { organisation: share.organisation, fraction, demandPerSecond }),
            );
            demands.set(host, wanted);
        }
    }

    private request(lender: string, durationMs: number, ranges: readonly number[], demands: ShareDemand[]): void {
        const { clock, timings, transport } = this.context;
        const requestId = this.context.nextRequestId();
        const organisations = demands.map(demand => demand.organisation);
        this.pending.set(requestId, { lender, sentAtMs: clock.nowMs(), durationMs, ranges, organisations });
        const value = create(LeaseRequestSchema, {
            requestId,
            claim: localSeatClaim(this.context),
            ranges: [...ranges],
            demands,
            durationMs,
            grantMs: timings.grantMs,
        });
        transport.send(lender, { case: "leaseRequest", value });
    }

    private removeExpired(nowMs: number): void {
        for (const [host, retryAtMs] of this.seatlessRetryAtMs) {
            if (retryAtMs <= nowMs) {
                this.seatlessRetryAtMs.delete(host);
            }
        }
        for (const [requestId, request] of this.pending) {
            if (request.sentAtMs + request.durationMs < nowMs) {
                this.pending.delete(requestId);
            }
        }
    }

    private assignedRanges(): number[] {
        return Array.from({ length: RANGE_COUNT }, (_, range) => range)
            .filter(range => isCollectorOf(this.context, range));
    }

    private returnReassignedRanges(): void {
        const { state, clock } = this.context;
        const nowMs = clock.nowMs();
        const reassigned = Array.from({ length: RANGE_COUNT }, (_, range) => range).filter(range =>
            !isCollectorOf(this.context, range) && state.rangeShare(range)!.collected.heldAt(nowMs) > 0
        );
        if (reassigned.length > 0) {
            this.returnRanges(reassigned);
        }
    }

    private returnRanges(ranges: readonly number[]): void {
        const { clock, state, transport } = this.context;
        const nowMs = clock.nowMs();
        const lenders = new Set([...this.pending.values()].map(request => request.lender));
        let expiresAtMs = nowMs;
        for (const range of ranges) {
            const shares = state.refilledRange(range);
            for (const share of shares) {
                expiresAtMs = Math.max(expiresAtMs, share.pool.lastGrantExpiryMs(), share.loans.lastExpiryMs());
                share.borrowed.lendersAt(nowMs).forEach(lender => lenders.add(lender));
                share.borrowed.clear();
            }
            state.rangeShare(range)!.collected.lendersAt(nowMs).forEach(lender => lenders.add(lender));
            state.rangeShare(range)!.collected.clear();
        }
        this.pending.clear();
        const upToRequestId = this.context.nextRequestId();
        const remainingMs = Math.ceil(expiresAtMs - nowMs);
        const value = create(LeaseReturnSchema, { upToRequestId, ranges: [...ranges], remainingMs });
        for (const lender of lenders) {
            transport.send(lender, { case: "leaseReturn", value });
        }
    }
}
