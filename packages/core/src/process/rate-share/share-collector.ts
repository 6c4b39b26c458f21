/**
 * Collects shares: of the seats of the own failure domain for the ranges that this node collects, and by demand from
 * the collectors of other failure domains.
 */
import { create } from "@bufbuild/protobuf";
import { LeaseRequestSchema, LeaseReturnSchema, ShareDemandSchema } from "@radishrouter/protocol";
import type { LeaseAnswer, ShareDemand } from "@radishrouter/protocol";
import type { ReceivedMessage } from "../../connection/control-transport.js";
import { isCollector, ownClaim } from "./share-context.js";
import type { ShareContext } from "./share-context.js";
import { DEMAND_HEADROOM } from "./share-lender.js";
import { RANGE_COUNT } from "./share-range.js";
import type { OrganisationShare } from "./share-state.js";

interface PendingRequest {
    readonly lender: string;
    /** From this time the duration counts: before the request was sent. */
    readonly sentMs: number;
    readonly durationMs: number;
    readonly ranges: readonly number[];
    readonly organisations: readonly string[];
}

const SEATLESS_INTERVAL_MS = 10_000;
const MINIMUM_FRACTION = 1e-6;

/** Asks for shares and renews them; counts each lease from before it asked. */
export class ShareCollector {
    private readonly pending = new Map<bigint, PendingRequest>();
    /** Hosts without a seat, and when to ask them again. */
    private readonly seatlessUntilMs = new Map<string, number>();
    private nextCollectMs = 0;
    private nextBorrowMs = 0;
    private hasGaps = true;

    private constructor(private readonly context: ShareContext) {}

    static create(context: ShareContext): ShareCollector {
        return new ShareCollector(context);
    }

    /** Sends what is due; called at every tick. */
    tick(): void {
        const { clock, timings } = this.context;
        const nowMs = clock.nowMs();
        this.returnForeignRanges();
        if (nowMs >= this.nextCollectMs) {
            this.dropLatePending(nowMs);
            this.collect();
            this.nextCollectMs = nowMs + (this.hasGaps ? timings.leaseRenewMs / 2 : timings.leaseRenewMs);
        }
        if (nowMs >= this.nextBorrowMs) {
            this.borrow();
            this.nextBorrowMs = nowMs + timings.subleaseRenewMs;
        }
    }

    /** Takes over what a lender gave. */
    accept(received: ReceivedMessage, answer: LeaseAnswer): void {
        const pending = this.pending.get(answer.requestId);
        if (!pending || pending.lender !== received.sender || answer.askerIncarnation !== this.context.incarnation) {
            return;
        }
        this.pending.delete(answer.requestId);
        if (answer.seatless) {
            this.seatlessUntilMs.set(received.sender, this.context.clock.nowMs() + SEATLESS_INTERVAL_MS);
        }
        const lease = {
            lender: received.sender,
            requestId: answer.requestId,
            endsMs: pending.sentMs + pending.durationMs,
        };
        for (const { range, fraction } of answer.ranges.filter(({ range }) => pending.ranges.includes(range))) {
            this.putRange(range, { ...lease, fraction });
        }
        for (const { organisation, fraction } of answer.shares) {
            const share = this.context.state.settled(organisation);
            if (share && pending.organisations.includes(organisation)) {
                share.borrowed.put({ ...lease, fraction });
            }
        }
    }

    /** Forgets requests on the way, after a pause. */
    discard(): void {
        this.pending.clear();
        this.nextCollectMs = 0;
        this.nextBorrowMs = 0;
    }

    /** Gives back every lease, at a planned stop. */
    returnAll(): void {
        this.returnRanges(Array.from({ length: RANGE_COUNT }, (_, range) => range));
    }

    private putRange(
        range: number,
        lease: { lender: string; requestId: bigint; endsMs: number; fraction: number; },
    ): void {
        const { state, clock } = this.context;
        const rangeShare = state.rangeShare(range);
        if (!rangeShare) {
            return;
        }
        const isExtension = rangeShare.collected.from(lease.lender, clock.nowMs()) === lease.fraction;
        if (!isExtension) {
            state.settledRange(range);
        }
        rangeShare.collected.put(lease);
    }

    private collect(): void {
        const { choice, seat, ownName, state, clock, timings } = this.context;
        const nowMs = clock.nowMs();
        const ranges = this.ownRanges();
        this.hasGaps = false;
        if (ranges.length === 0) {
            return;
        }
        const lenders = choice().hosts
            .filter(host => host.failureDomain === seat.failureDomain && host.name !== ownName)
            .filter(host => (this.seatlessUntilMs.get(host.name) ?? 0) <= nowMs);
        for (const { name } of lenders) {
            this.hasGaps ||= ranges.some(range => state.rangeShare(range)!.collected.from(name, nowMs) === 0);
            this.request(name, timings.leaseMs, ranges, []);
        }
    }

    /** Asks other failure domains for what the own one lacks. */
    private borrow(): void {
        const { choice, seat } = this.context;
        const others = choice().failureDomains.filter(name => name !== seat.failureDomain);
        const demands = new Map<string, ShareDemand[]>();
        for (const organisation of this.context.demand.names()) {
            const share = this.context.state.settled(organisation);
            if (share && isCollector(this.context, share.range.range)) {
                this.addDemands(share, others, demands);
            }
        }
        for (const [host, wanted] of demands) {
            this.request(host, this.context.timings.subleaseMs, [], wanted);
        }
    }

    private addDemands(share: OrganisationShare, others: readonly string[], demands: Map<string, ShareDemand[]>): void {
        const { clock, state, demand, choice } = this.context;
        const nowMs = clock.nowMs();
        const limits = state.limitsOf(share.organisation)!;
        const demandPerSecond = demand.ofFailureDomain(share.organisation);
        const needed = Math.min(1, demandPerSecond * DEMAND_HEADROOM / limits.ratePerSecond);
        const missing = needed - state.collectedOver(share.range, nowMs, nowMs) - share.borrowed.heldAt(nowMs);
        for (const failureDomain of others) {
            const host = choice().collectorOf(failureDomain, share.range.range);
            const fraction = host === undefined ? 0 : share.borrowed.from(host, nowMs) + missing / others.length;
            if (host === undefined || fraction < MINIMUM_FRACTION) {
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
        this.pending.set(requestId, { lender, sentMs: clock.nowMs(), durationMs, ranges, organisations });
        const value = create(LeaseRequestSchema, {
            requestId,
            claim: ownClaim(this.context),
            ranges: [...ranges],
            demands,
            durationMs,
            grantMs: timings.grantMs,
        });
        transport.send(lender, { case: "leaseRequest", value });
    }

    private dropLatePending(nowMs: number): void {
        for (const [host, untilMs] of this.seatlessUntilMs) {
            if (untilMs <= nowMs) {
                this.seatlessUntilMs.delete(host);
            }
        }
        for (const [requestId, request] of this.pending) {
            if (request.sentMs + request.durationMs < nowMs) {
                this.pending.delete(requestId);
            }
        }
    }

    private ownRanges(): number[] {
        return Array.from({ length: RANGE_COUNT }, (_, range) => range)
            .filter(range => isCollector(this.context, range));
    }

    private returnForeignRanges(): void {
        const { state, clock } = this.context;
        const nowMs = clock.nowMs();
        const foreign = Array.from({ length: RANGE_COUNT }, (_, range) => range).filter(range =>
            !isCollector(this.context, range) && state.rangeShare(range)!.collected.heldAt(nowMs) > 0
        );
        if (foreign.length > 0) {
            this.returnRanges(foreign);
        }
    }

    private returnRanges(ranges: readonly number[]): void {
        const { clock, state, transport } = this.context;
        const nowMs = clock.nowMs();
        const lenders = new Set([...this.pending.values()].map(request => request.lender));
        let endsMs = nowMs;
        for (const range of ranges) {
            const shares = state.settledRange(range);
            for (const share of shares) {
                endsMs = Math.max(endsMs, share.pool.grantsEndMs(), share.loans.endsMs());
                share.borrowed.lenders(nowMs).forEach(lender => lenders.add(lender));
                share.borrowed.clear();
            }
            state.rangeShare(range)!.collected.lenders(nowMs).forEach(lender => lenders.add(lender));
            state.rangeShare(range)!.collected.clear();
        }
        this.pending.clear();
        const upToRequestId = this.context.nextRequestId();
        const remainingMs = Math.ceil(endsMs - nowMs);
        const value = create(LeaseReturnSchema, { upToRequestId, ranges: [...ranges], remainingMs });
        for (const lender of lenders) {
            transport.send(lender, { case: "leaseReturn", value });
        }
    }
}
