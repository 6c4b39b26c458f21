/**
 * Requests tokens for an entry node from the collectors of its failure domain.
 */
import { create } from "@bufbuild/protobuf";
import { GrantDemandSchema, GrantRequestSchema } from "@radishrouter/protocol";
import type { Grant, GrantAnswer, GrantDemand } from "@radishrouter/protocol";
import type { ReceivedMessage } from "../../connection/control-transport.js";
import type { RateDecision } from "../rate-limiter.js";
import { isOverRate } from "./demand-tracker.js";
import { PrefetchedTokens } from "./prefetched-tokens.js";
import { localSeatClaim } from "./share-context.js";
import type { ShareContext } from "./share-context.js";
import { rangeOf } from "./share-range.js";
import { PREFETCH_MS } from "./share-timings.js";

interface PendingRequest {
    readonly collector: string;
    readonly sentAtMs: number;
    readonly demands: readonly GrantDemand[];
}

/** Minimum demand for which tokens are prefetched. */
const MINIMUM_PREFETCH_DEMAND_PER_SECOND = 0.2;
/** Tokens that are prefetched in addition to those for the measured demand. */
const SPARE_TOKENS = 1;
/** Tokens of an idle organisation are renewed only if at least this many are held; fewer are left to other nodes. */
const MINIMUM_RETAINED_TOKENS = 16;
/** Time without requests during which the tokens of an organisation are renewed. */
const RETENTION_MS = 10_000;
const MAXIMUM_WAITING_REQUESTS = 256;
/** Retry delay for callers if the collector has not answered yet or no longer collects for the organisation. */
const DEFAULT_RETRY_MS = 1_000;

/** Prefetches tokens ahead of demand, and lets requests wait briefly when none are available. */
export class GrantClient {
    private readonly tokensByOrganisation = new Map<string, PrefetchedTokens>();
    private readonly pending = new Map<bigint, PendingRequest>();
    private readonly lastProcessedIds = new Map<string, bigint>();
    private readonly lastRequestMs = new Map<string, number>();

    private constructor(private readonly context: ShareContext) {}

    static create(context: ShareContext): GrantClient {
        return new GrantClient(context);
    }

    /** Admits or refuses one request at a node that is not the collector for the organisation. */
    acquire(organisation: string, collector: string): RateDecision | Promise<RateDecision> {
        const nowMs = this.context.clock.nowMs();
        const prefetched = this.tokensOf(organisation);
        prefetched.lastRequestMs = nowMs;
        if (prefetched.waitingRequests.length === 0 && prefetched.tryTake(nowMs)) {
            return { kind: "admitted" };
        }
        const refusal = this.immediateRefusal(organisation, prefetched);
        if (refusal) {
            return refusal;
        }
        const decision = new Promise<RateDecision>(resolve => {
            prefetched.waitingRequests.push({ waitingSinceMs: nowMs, decide: resolve });
        });
        this.sendRequest(collector, nowMs);
        return decision;
    }

    /** Requests tokens that will be needed, and refuses requests that have waited too long. */
    tick(): void {
        const nowMs = this.context.clock.nowMs();
        const collectors = new Set<string>();
        for (const [organisation, prefetched] of this.tokensByOrganisation) {
            this.refuseExpiredRequests(organisation, prefetched, nowMs);
            const collector = this.collectorOf(organisation);
            if (collector !== undefined && this.needsRequest(organisation, prefetched, nowMs)) {
                collectors.add(collector);
            }
        }
        for (const collector of collectors) {
            this.sendRequest(collector, nowMs);
        }
        for (const [requestId, pendingRequest] of this.pending) {
            if (pendingRequest.sentAtMs + this.context.timings.grantMs < nowMs) {
                this.pending.delete(requestId);
            }
        }
    }

    /** Stores granted tokens and admits requests that wait for them. */
    accept(received: ReceivedMessage, answer: GrantAnswer): void {
        const pendingRequest = this.pending.get(answer.requestId);
        if (
            !pendingRequest || pendingRequest.collector !== received.sender ||
            answer.askerIncarnation !== this.context.incarnation
        ) {
            return;
        }
        this.pending.delete(answer.requestId);
        if ((this.lastProcessedIds.get(received.sender) ?? -1n) >= answer.requestId) {
            return;
        }
        this.lastProcessedIds.set(received.sender, answer.requestId);
        const expiresAtMs = pendingRequest.sentAtMs + this.context.timings.grantMs;
        for (const grant of answer.grants) {
            if (pendingRequest.demands.some(demand => demand.organisation === grant.organisation)) {
                this.applyGrant(grant, received.sender, expiresAtMs);
            }
        }
    }

    /** Number of unspent granted tokens of an organisation. */
    unspentTokens(organisation: string): number {
        return this.tokensByOrganisation.get(organisation)?.unexpiredAt(this.context.clock.nowMs()) ?? 0;
    }

    /** Refuses all requests that are still waiting. */
    close(): void {
        for (const [organisation, prefetched] of this.tokensByOrganisation) {
            this.refuseAll(organisation, prefetched);
        }
    }

    /** Drops tokens and pending grant requests after a pause. */
    resetAfterPause(): void {
        this.pending.clear();
        for (const prefetched of this.tokensByOrganisation.values()) {
            prefetched.clear();
            prefetched.unansweredSinceMs = undefined;
        }
    }

    private applyGrant(grant: Grant, collector: string, expiresAtMs: number): void {
        const nowMs = this.context.clock.nowMs();
        const prefetched = this.tokensOf(grant.organisation);
        prefetched.extend(collector, grant.extended, expiresAtMs, nowMs);
        prefetched.add(collector, grant.tokens, expiresAtMs);
        prefetched.unansweredSinceMs = undefined;
        prefetched.collectorStatus = {
            receivedAtMs: nowMs,
            short: grant.short,
            collecting: grant.collecting,
            retryAfterMs: grant.retryAfterMs,
            demandPerSecond: grant.demandPerSecond,
        };
        while (prefetched.waitingRequests.length > 0 && prefetched.tryTake(nowMs)) {
            prefetched.waitingRequests.shift()!.decide({ kind: "admitted" });
        }
        if (prefetched.collectorStatus.short && this.isOverRate(grant.organisation, prefetched)) {
            this.refuseAll(grant.organisation, prefetched);
        }
    }

    /** Refusal if waiting would not help: no tokens left at the collector, no answer from it, or too many waiting. */
    private immediateRefusal(organisation: string, prefetched: PrefetchedTokens): RateDecision | undefined {
        const { clock, timings } = this.context;
        const nowMs = clock.nowMs();
        const isCollectorShort = prefetched.collectorStatus?.short &&
            nowMs - prefetched.collectorStatus.receivedAtMs < timings.maximumWaitMs &&
            this.isOverRate(organisation, prefetched);
        const isUnresponsive = prefetched.unansweredSinceMs !== undefined &&
            nowMs - prefetched.unansweredSinceMs >= timings.maximumWaitMs;
        return isCollectorShort || isUnresponsive || prefetched.waitingRequests.length >= MAXIMUM_WAITING_REQUESTS ?
            this.createRefusal(organisation, prefetched) :
            undefined;
    }

    private createRefusal(organisation: string, prefetched: PrefetchedTokens): RateDecision {
        const retryAfterMs = prefetched.collectorStatus?.collecting ?
            prefetched.collectorStatus.retryAfterMs :
            DEFAULT_RETRY_MS;
        return { kind: "refused", retryAfterMs, withinRate: !this.isOverRate(organisation, prefetched) };
    }

    /** Whether the known demand exceeds the rate; otherwise the request may wait for the next grant. */
    private isOverRate(organisation: string, prefetched: PrefetchedTokens): boolean {
        const rate = this.context.state.limitsOf(organisation)?.ratePerSecond ?? 0;
        const known = prefetched.collectorStatus?.demandPerSecond ?? 0;
        return isOverRate(Math.max(this.context.demand.nodeDemand(organisation), known), rate);
    }

    private refuseExpiredRequests(organisation: string, prefetched: PrefetchedTokens, nowMs: number): void {
        const latestMs = nowMs - this.context.timings.maximumWaitMs;
        while (prefetched.waitingRequests.length > 0 && prefetched.waitingRequests[0]!.waitingSinceMs <= latestMs) {
            prefetched.waitingRequests.shift()!.decide(this.createRefusal(organisation, prefetched));
        }
    }

    private refuseAll(organisation: string, prefetched: PrefetchedTokens): void {
        for (const waiter of prefetched.waitingRequests.splice(0)) {
            waiter.decide(this.createRefusal(organisation, prefetched));
        }
    }

    /** Sends one request for all organisations of a collector, unless one was sent within the last half tick. */
    private sendRequest(collector: string, nowMs: number): void {
        const lastMs = this.lastRequestMs.get(collector);
        if (lastMs !== undefined && nowMs - lastMs < this.context.timings.tickMs / 2) {
            return;
        }
        const demands = this.createDemands(collector, nowMs);
        const requestId = this.context.nextRequestId();
        this.lastRequestMs.set(collector, nowMs);
        this.pending.set(requestId, { collector, sentAtMs: nowMs, demands });
        const value = create(GrantRequestSchema, {
            requestId,
            claim: localSeatClaim(this.context),
            processedRequestId: this.lastProcessedIds.get(collector) ?? 0n,
            demands,
            durationMs: this.context.timings.grantMs,
        });
        this.context.transport.send(collector, { case: "grantRequest", value });
    }

    private createDemands(collector: string, nowMs: number): GrantDemand[] {
        const demands: GrantDemand[] = [];
        for (const [organisation, prefetched] of this.tokensByOrganisation) {
            const demandPerSecond = this.context.demand.nodeDemand(organisation);
            if (this.collectorOf(organisation) === collector && this.needsTokens(prefetched, demandPerSecond)) {
                const tokens = this.wantedTokens(organisation, prefetched);
                const held = prefetched.unspentFrom(collector, nowMs);
                const waiting = prefetched.waitingRequests.length;
                demands.push(create(GrantDemandSchema, { organisation, tokens, held, demandPerSecond, waiting }));
                prefetched.unansweredSinceMs ??= nowMs;
            }
        }
        return demands;
    }

    /** Whether fewer than half of the wanted tokens are left, or some of them expire soon. */
    private needsRequest(organisation: string, prefetched: PrefetchedTokens, nowMs: number): boolean {
        if (!this.needsTokens(prefetched, this.context.demand.nodeDemand(organisation))) {
            return false;
        }
        const soonMs = nowMs + this.context.timings.grantMs / 2;
        const held = prefetched.unexpiredAt(nowMs);
        return this.wantedTokens(organisation, prefetched) > held || held > prefetched.unexpiredAt(soonMs);
    }

    private needsTokens(prefetched: PrefetchedTokens, demandPerSecond: number): boolean {
        const nowMs = this.context.clock.nowMs();
        const isRetained = nowMs - prefetched.lastRequestMs < RETENTION_MS &&
            prefetched.unexpiredAt(nowMs) >= MINIMUM_RETAINED_TOKENS;
        return demandPerSecond >= MINIMUM_PREFETCH_DEMAND_PER_SECOND || prefetched.waitingRequests.length > 0 ||
            isRetained;
    }

    private wantedTokens(organisation: string, prefetched: PrefetchedTokens): number {
        const { clock, demand } = this.context;
        const perSecond = demand.nodeDemand(organisation);
        if (!this.needsTokens(prefetched, perSecond)) {
            return 0;
        }
        const wanted = Math.ceil(perSecond * PREFETCH_MS / 1000) + SPARE_TOKENS + prefetched.waitingRequests.length;
        return Math.max(0, wanted - prefetched.unexpiredAt(clock.nowMs()));
    }

    private collectorOf(organisation: string): string | undefined {
        return this.context.assignment().collectorOf(this.context.seat.failureDomain, rangeOf(organisation));
    }

    private tokensOf(organisation: string): PrefetchedTokens {
        let prefetched = this.tokensByOrganisation.get(organisation);
        if (!prefetched) {
            prefetched = PrefetchedTokens.create();
            this.tokensByOrganisation.set(organisation, prefetched);
        }
        return prefetched;
    }
}
