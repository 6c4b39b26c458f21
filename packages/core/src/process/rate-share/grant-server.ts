/**
 * Grants tokens to entry nodes of the local failure domain, for the ranges that this node is the collector of.
 */
import { create } from "@bufbuild/protobuf";
import { GrantAnswerSchema, GrantSchema } from "@radishrouter/protocol";
import type { Grant, GrantDemand, GrantRequest } from "@radishrouter/protocol";
import type { ReceivedMessage } from "../../connection/control-transport.js";
import { isCollectorOf } from "./share-context.js";
import type { ShareContext } from "./share-context.js";
import { lenderDurationMs, PREFETCH_MS } from "./share-timings.js";

interface LastRequest {
    readonly incarnation: bigint;
    readonly requestId: bigint;
}

/** Fraction of the burst that all entry nodes together may prefetch beyond their immediate demand. */
const PREFETCH_FRACTION = 0.5;
/** Fraction of the available tokens that one entry node may hold as spare tokens. */
const SPARE_FRACTION = 0.125;
const MINIMUM_RETRY_MS = 200;
const MAXIMUM_RETRY_MS = 10_000;

/** Milliseconds after which a caller over its rate should retry. */
export function computeRetryAfterMs(demandPerSecond: number, ratePerSecond: number): number {
    return Math.min(MAXIMUM_RETRY_MS, Math.max(MINIMUM_RETRY_MS, Math.round(1000 * demandPerSecond / ratePerSecond)));
}

/** Answers grant requests. */
export class GrantServer {
    private readonly lastRequests = new Map<string, LastRequest>();

    private constructor(private readonly context: ShareContext) {}

    static create(context: ShareContext): GrantServer {
        return new GrantServer(context);
    }

    /** Answers one request; duplicate and out-of-order requests are ignored. */
    answer(received: ReceivedMessage, request: GrantRequest): void {
        const { guard, timings, transport, seat } = this.context;
        const { sender, incarnation } = received;
        if (!request.claim || request.durationMs > timings.grantMs || !this.isNewRequest(received, request)) {
            return;
        }
        const claimed = { failureDomain: request.claim.failureDomain, number: request.claim.seat };
        const supersedingIncarnation = guard.recordClaim({ host: sender, incarnation }, claimed);
        const isSameFailureDomain = claimed.failureDomain === seat.failureDomain;
        const value = create(GrantAnswerSchema, {
            requestId: request.requestId,
            askerIncarnation: incarnation,
            grants: request.demands.map(demand => this.createGrant(received, request, demand, isSameFailureDomain)),
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

    private createGrant(
        received: ReceivedMessage,
        request: GrantRequest,
        wanted: GrantDemand,
        isSameFailureDomain: boolean,
    ): Grant {
        const { state, clock, timings, demand } = this.context;
        const { organisation } = wanted;
        const share = isSameFailureDomain ? state.refilledShare(organisation) : undefined;
        if (!share || !isCollectorOf(this.context, share.range.range)) {
            return create(GrantSchema, { organisation, collecting: false });
        }
        const entry = `${received.sender}/${received.incarnation}`;
        demand.recordEntryNodeDemand(organisation, entry, wanted.demandPerSecond);
        share.pool.recordHeld(entry, request.processedRequestId, wanted.held);
        const nowMs = clock.nowMs();
        const expiresAtMs = nowMs + lenderDurationMs(timings, request.durationMs);
        const fraction = state.fractionDuring(share, nowMs, nowMs);
        const limits = state.limitsOf(organisation)!;
        const extended = share.pool.extend(entry, expiresAtMs, fraction, limits);
        const tokens = this.chooseTokens(share.pool.available, fraction * limits.burst, wanted);
        if (tokens > 0) {
            share.pool.grant(entry, request.requestId, tokens, expiresAtMs);
        }
        const demandPerSecond = demand.fleetDemand(organisation);
        return create(GrantSchema, {
            organisation,
            tokens,
            extended,
            collecting: true,
            short: share.pool.available < wanted.tokens - tokens,
            retryAfterMs: computeRetryAfterMs(demandPerSecond, limits.ratePerSecond),
            demandPerSecond,
        });
    }

    /**
     * Number of tokens to grant to one entry node.
     *
     * All entry nodes together prefetch at most half of the burst, so that a node with little demand does not hold
     * tokens that requests at other nodes wait for. A node whose demand needs more may prefetch more. If many tokens
     * are available, each node gets spare tokens, so that it need not wait for the next grant.
     */
    private chooseTokens(available: number, burst: number, wanted: GrantDemand): number {
        const { demand } = this.context;
        const fairPrefetch = Math.floor(burst * PREFETCH_FRACTION / demand.countEntryNodes(wanted.organisation));
        const demandPrefetch = Math.floor(wanted.demandPerSecond * PREFETCH_MS / 1000);
        const remainingPrefetch = Math.max(0, Math.max(fairPrefetch, demandPrefetch) - wanted.held);
        const spareTokens = Math.floor(available * SPARE_FRACTION) - wanted.held;
        return Math.min(available, Math.max(Math.min(wanted.tokens, remainingPrefetch + wanted.waiting), spareTokens));
    }
}
