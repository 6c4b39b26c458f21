/**
 * Gives tokens to entry nodes of the own failure domain, for the ranges that this node collects.
 */
import { create } from "@bufbuild/protobuf";
import { GrantAnswerSchema, GrantSchema } from "@radishrouter/protocol";
import type { Grant, GrantDemand, GrantRequest } from "@radishrouter/protocol";
import type { ReceivedMessage } from "../../connection/control-transport.js";
import { isCollector } from "./share-context.js";
import type { ShareContext } from "./share-context.js";
import { lenderDurationMs, STOCK_MS } from "./share-timings.js";

interface LastRequest {
    readonly incarnation: bigint;
    readonly requestId: bigint;
}

/** Part of the burst that the stocks of all entry nodes may hold together beyond the demand of a moment. */
const STOCK_FRACTION = 0.5;
/** Part of the free tokens that one entry node may hold ahead of its demand. */
const AHEAD_FRACTION = 0.125;
const MINIMUM_RETRY_MS = 200;
const MAXIMUM_RETRY_MS = 10_000;

/** Milliseconds after which a caller over its rate should send again. */
export function retryAfterMs(demandPerSecond: number, ratePerSecond: number): number {
    return Math.min(MAXIMUM_RETRY_MS, Math.max(MINIMUM_RETRY_MS, Math.round(1000 * demandPerSecond / ratePerSecond)));
}

/** Answers grant requests. */
export class GrantServer {
    private readonly lastRequests = new Map<string, LastRequest>();

    private constructor(private readonly context: ShareContext) {}

    static create(context: ShareContext): GrantServer {
        return new GrantServer(context);
    }

    /** Answers one request; a request that came twice or late is ignored. */
    answer(received: ReceivedMessage, request: GrantRequest): void {
        const { guard, timings, transport, seat } = this.context;
        const { sender, incarnation } = received;
        if (!request.claim || request.durationMs > timings.grantMs || !this.isNewRequest(received, request)) {
            return;
        }
        const claimed = { failureDomain: request.claim.failureDomain, number: request.claim.seat };
        const supersedingIncarnation = guard.noteClaim({ host: sender, incarnation }, claimed);
        const isNear = claimed.failureDomain === seat.failureDomain;
        const value = create(GrantAnswerSchema, {
            requestId: request.requestId,
            askerIncarnation: incarnation,
            grants: request.demands.map(demand => this.grant(received, request, demand, isNear)),
            supersedingIncarnation,
        });
        transport.send(sender, { case: "grantAnswer", value });
    }

    private isNewRequest({ sender, incarnation }: ReceivedMessage, { requestId }: GrantRequest): boolean {
        const last = this.lastRequests.get(sender);
        const isOld = last &&
            (incarnation < last.incarnation || (incarnation === last.incarnation && requestId <= last.requestId));
        if (!isOld) {
            this.lastRequests.set(sender, { incarnation, requestId });
        }
        return !isOld;
    }

    private grant(received: ReceivedMessage, request: GrantRequest, wanted: GrantDemand, isNear: boolean): Grant {
        const { state, clock, timings, demand } = this.context;
        const { organisation } = wanted;
        const share = isNear ? state.settled(organisation) : undefined;
        if (!share || !isCollector(this.context, share.range.range)) {
            return create(GrantSchema, { organisation, collecting: false });
        }
        const entry = `${received.sender}/${received.incarnation}`;
        demand.reportEntry(organisation, entry, wanted.demandPerSecond);
        share.pool.confirm(entry, request.processedRequestId, wanted.held);
        const nowMs = clock.nowMs();
        const endsMs = nowMs + lenderDurationMs(timings, request.durationMs);
        const fraction = state.fractionOver(share, nowMs, nowMs);
        const limits = state.limitsOf(organisation)!;
        const extended = share.pool.extend(entry, endsMs, fraction, limits);
        const tokens = this.chooseTokens(share.pool.available, fraction * limits.burst, wanted);
        if (tokens > 0) {
            share.pool.grant(entry, request.requestId, tokens, endsMs);
        }
        const demandPerSecond = demand.ofFleet(organisation);
        return create(GrantSchema, {
            organisation,
            tokens,
            extended,
            collecting: true,
            short: share.pool.available < wanted.tokens - tokens,
            retryAfterMs: retryAfterMs(demandPerSecond, limits.ratePerSecond),
            demandPerSecond,
        });
    }

    /**
     * Tokens for one entry node. Stocks take at most half of the burst as long as others may need it, so that a node
     * with little demand does not keep tokens from requests that wait elsewhere; of many free tokens each node gets
     * some ahead, so that it need not wait for the next grant.
     */
    private chooseTokens(available: number, capacity: number, wanted: GrantDemand): number {
        const { demand } = this.context;
        const sharedStock = Math.floor(capacity * STOCK_FRACTION / demand.entryNodes(wanted.organisation));
        const ownStock = Math.floor(wanted.demandPerSecond * STOCK_MS / 1000);
        const room = Math.max(0, Math.max(sharedStock, ownStock) - wanted.held);
        const ahead = Math.floor(available * AHEAD_FRACTION) - wanted.held;
        return Math.min(available, Math.max(Math.min(wanted.tokens, room + wanted.waiting), ahead));
    }
}
