/**
 * Keeps an entry node supplied with tokens from the collectors of its failure domain.
 */
import { create } from "@bufbuild/protobuf";
import { GrantDemandSchema, GrantRequestSchema } from "@radishrouter/protocol";
import type { Grant, GrantAnswer, GrantDemand } from "@radishrouter/protocol";
import type { ReceivedMessage } from "../../connection/control-transport.js";
import type { RateDecision } from "../rate-limiter.js";
import { isOverRate } from "./demand-board.js";
import { EntryStock } from "./entry-stock.js";
import { ownClaim } from "./share-context.js";
import type { ShareContext } from "./share-context.js";
import { rangeOf } from "./share-range.js";
import { STOCK_MS } from "./share-timings.js";

interface PendingAsk {
    readonly collector: string;
    readonly sentMs: number;
    readonly demands: readonly GrantDemand[];
}

/** Below this demand per second nothing is kept ahead. */
const MINIMUM_DEMAND_PER_SECOND = 0.2;
/** Tokens that are kept ahead besides those for the measured demand. */
const SPARE_TOKENS = 1;
/** Least stock that is kept while an organisation sends nothing for a while; smaller ones are left to others. */
const KEPT_TOKENS = 16;
/** Time without requests for which a large stock is kept. */
const KEPT_MS = 10_000;
const MAXIMUM_WAITERS = 256;
const RETRY_SILENT_MS = 1_000;

/** Asks for tokens ahead of demand, and lets a first request wait briefly for them. */
export class GrantClient {
    private readonly stocks = new Map<string, EntryStock>();
    private readonly pending = new Map<bigint, PendingAsk>();
    private readonly processed = new Map<string, bigint>();
    private readonly askedMs = new Map<string, number>();

    private constructor(private readonly context: ShareContext) {}

    static create(context: ShareContext): GrantClient {
        return new GrantClient(context);
    }

    /** Decides about one request at a node that does not collect for the organisation. */
    acquire(organisation: string, collector: string): RateDecision | Promise<RateDecision> {
        const nowMs = this.context.clock.nowMs();
        const stock = this.stockOf(organisation);
        stock.usedMs = nowMs;
        if (stock.waiters.length === 0 && stock.tryTake(nowMs)) {
            return { kind: "admitted" };
        }
        const refusal = this.refusalNow(organisation, stock);
        if (refusal) {
            return refusal;
        }
        const decision = new Promise<RateDecision>(resolve => {
            stock.waiters.push({ sinceMs: nowMs, decide: resolve });
        });
        this.ask(collector, nowMs);
        return decision;
    }

    /** Asks for what is needed ahead, and refuses requests that waited too long. */
    tick(): void {
        const nowMs = this.context.clock.nowMs();
        const collectors = new Set<string>();
        for (const [organisation, stock] of this.stocks) {
            this.refuseLateWaiters(organisation, stock, nowMs);
            const collector = this.collectorOf(organisation);
            if (collector !== undefined && this.needsAsk(organisation, stock, nowMs)) {
                collectors.add(collector);
            }
        }
        for (const collector of collectors) {
            this.ask(collector, nowMs);
        }
        for (const [requestId, ask] of this.pending) {
            if (ask.sentMs + this.context.timings.grantMs < nowMs) {
                this.pending.delete(requestId);
            }
        }
    }

    /** Takes over granted tokens and admits requests that wait for them. */
    accept(received: ReceivedMessage, answer: GrantAnswer): void {
        const ask = this.pending.get(answer.requestId);
        if (!ask || ask.collector !== received.sender || answer.askerIncarnation !== this.context.incarnation) {
            return;
        }
        this.pending.delete(answer.requestId);
        if ((this.processed.get(received.sender) ?? -1n) >= answer.requestId) {
            return;
        }
        this.processed.set(received.sender, answer.requestId);
        const endsMs = ask.sentMs + this.context.timings.grantMs;
        for (const grant of answer.grants) {
            if (ask.demands.some(demand => demand.organisation === grant.organisation)) {
                this.takeGrant(grant, received.sender, endsMs);
            }
        }
    }

    /** Granted tokens of an organisation that are not spent. */
    heldTokens(organisation: string): number {
        return this.stocks.get(organisation)?.goodAt(this.context.clock.nowMs()) ?? 0;
    }

    /** Refuses the requests that still wait. */
    close(): void {
        for (const [organisation, stock] of this.stocks) {
            this.refuseAll(organisation, stock);
        }
    }

    /** Drops tokens and forgets requests on the way, after a pause. */
    discard(): void {
        this.pending.clear();
        for (const stock of this.stocks.values()) {
            stock.clear();
            stock.unansweredSinceMs = undefined;
        }
    }

    private takeGrant(grant: Grant, collector: string, endsMs: number): void {
        const nowMs = this.context.clock.nowMs();
        const stock = this.stockOf(grant.organisation);
        stock.extend(collector, grant.extended, endsMs, nowMs);
        stock.add(collector, grant.tokens, endsMs);
        stock.unansweredSinceMs = undefined;
        stock.word = {
            heardMs: nowMs,
            short: grant.short,
            collecting: grant.collecting,
            retryAfterMs: grant.retryAfterMs,
            demandPerSecond: grant.demandPerSecond,
        };
        while (stock.waiters.length > 0 && stock.tryTake(nowMs)) {
            stock.waiters.shift()!.decide({ kind: "admitted" });
        }
        if (stock.word.short && this.isOverRate(grant.organisation, stock)) {
            this.refuseAll(grant.organisation, stock);
        }
    }

    /** A refusal when waiting would not help: the collector has no tokens left or does not answer. */
    private refusalNow(organisation: string, stock: EntryStock): RateDecision | undefined {
        const { clock, timings } = this.context;
        const nowMs = clock.nowMs();
        const isShort = stock.word?.short && nowMs - stock.word.heardMs < timings.waitMs &&
            this.isOverRate(organisation, stock);
        const isSilent = stock.unansweredSinceMs !== undefined && nowMs - stock.unansweredSinceMs >= timings.waitMs;
        return isShort || isSilent || stock.waiters.length >= MAXIMUM_WAITERS ?
            this.createRefusal(organisation, stock) :
            undefined;
    }

    private createRefusal(organisation: string, stock: EntryStock): RateDecision {
        const retryAfterMs = stock.word?.collecting ? stock.word.retryAfterMs : RETRY_SILENT_MS;
        return { kind: "refused", retryAfterMs, withinRate: !this.isOverRate(organisation, stock) };
    }

    /** Whether the demand that is known here exceeds the rate; only then is waiting for the next grant no use. */
    private isOverRate(organisation: string, stock: EntryStock): boolean {
        const rate = this.context.state.limitsOf(organisation)?.ratePerSecond ?? 0;
        const known = stock.word?.demandPerSecond ?? 0;
        return isOverRate(Math.max(this.context.demand.ofNode(organisation), known), rate);
    }

    private refuseLateWaiters(organisation: string, stock: EntryStock, nowMs: number): void {
        const latestMs = nowMs - this.context.timings.waitMs;
        while (stock.waiters.length > 0 && stock.waiters[0]!.sinceMs <= latestMs) {
            stock.waiters.shift()!.decide(this.createRefusal(organisation, stock));
        }
    }

    private refuseAll(organisation: string, stock: EntryStock): void {
        for (const waiter of stock.waiters.splice(0)) {
            waiter.decide(this.createRefusal(organisation, stock));
        }
    }

    /** Sends one request for all organisations of a collector, unless one was sent within this tick. */
    private ask(collector: string, nowMs: number): void {
        const lastMs = this.askedMs.get(collector);
        if (lastMs !== undefined && nowMs - lastMs < this.context.timings.tickMs / 2) {
            return;
        }
        const demands = this.createDemands(collector, nowMs);
        const requestId = this.context.nextRequestId();
        this.askedMs.set(collector, nowMs);
        this.pending.set(requestId, { collector, sentMs: nowMs, demands });
        const value = create(GrantRequestSchema, {
            requestId,
            claim: ownClaim(this.context),
            processedRequestId: this.processed.get(collector) ?? 0n,
            demands,
            durationMs: this.context.timings.grantMs,
        });
        this.context.transport.send(collector, { case: "grantRequest", value });
    }

    private createDemands(collector: string, nowMs: number): GrantDemand[] {
        const demands: GrantDemand[] = [];
        for (const [organisation, stock] of this.stocks) {
            const demandPerSecond = this.context.demand.ofNode(organisation);
            if (this.collectorOf(organisation) === collector && this.isActive(stock, demandPerSecond)) {
                const tokens = this.wantedTokens(organisation, stock);
                const held = stock.heldFrom(collector, nowMs);
                const waiting = stock.waiters.length;
                demands.push(create(GrantDemandSchema, { organisation, tokens, held, demandPerSecond, waiting }));
                stock.unansweredSinceMs ??= nowMs;
            }
        }
        return demands;
    }

    /** Whether half of the stock is spent, or what is held expires soon. */
    private needsAsk(organisation: string, stock: EntryStock, nowMs: number): boolean {
        if (!this.isActive(stock, this.context.demand.ofNode(organisation))) {
            return false;
        }
        const soonMs = nowMs + this.context.timings.grantMs / 2;
        const held = stock.goodAt(nowMs);
        return this.wantedTokens(organisation, stock) > held || held > stock.goodAt(soonMs);
    }

    private isActive(stock: EntryStock, demandPerSecond: number): boolean {
        const nowMs = this.context.clock.nowMs();
        const isKept = nowMs - stock.usedMs < KEPT_MS && stock.goodAt(nowMs) >= KEPT_TOKENS;
        return demandPerSecond >= MINIMUM_DEMAND_PER_SECOND || stock.waiters.length > 0 || isKept;
    }

    private wantedTokens(organisation: string, stock: EntryStock): number {
        const { clock, demand } = this.context;
        const perSecond = demand.ofNode(organisation);
        if (!this.isActive(stock, perSecond)) {
            return 0;
        }
        const wanted = Math.ceil(perSecond * STOCK_MS / 1000) + SPARE_TOKENS + stock.waiters.length;
        return Math.max(0, wanted - stock.goodAt(clock.nowMs()));
    }

    private collectorOf(organisation: string): string | undefined {
        return this.context.choice().collectorOf(this.context.seat.failureDomain, rangeOf(organisation));
    }

    private stockOf(organisation: string): EntryStock {
        let stock = this.stocks.get(organisation);
        if (!stock) {
            stock = EntryStock.create();
            this.stocks.set(organisation, stock);
        }
        return stock;
    }
}
