/**
 * Admits requests within a rate and burst that hold over all hosts, by shares that are conserved.
 */
import type { ControlTransport, ReceivedMessage } from "../../connection/control-transport.js";
import type { ConfigurationVersion } from "../../version/configuration-version.js";
import type { AuditTrail } from "../audit-trail.js";
import type { Clock, Timer } from "../clock.js";
import { setRepeatingTimer } from "../clock.js";
import type { RateDecision, RateLimiter } from "../rate-limiter.js";
import { DemandBoard } from "./demand-board.js";
import { GrantClient } from "./grant-client.js";
import { GrantServer } from "./grant-server.js";
import { PoolQueue } from "./pool-queue.js";
import { SeatGuard } from "./seat-guard.js";
import type { Seat } from "./seat-guard.js";
import { ShareCollector } from "./share-collector.js";
import type { ShareContext } from "./share-context.js";
import { ShareLender } from "./share-lender.js";
import { CollectorChoice, rangeOf } from "./share-range.js";
import type { ShareHost } from "./share-range.js";
import { ShareState } from "./share-state.js";
import { defaultShareTimings } from "./share-timings.js";
import type { ShareTimings } from "./share-timings.js";

/** Parts and settings of a limiter. */
export interface LeasedShareLimiterOptions {
    readonly clock: Clock;
    readonly transport: ControlTransport;
    readonly audit: AuditTrail;
    readonly ownName: string;
    /** Grows with each restart; shared with the transport. */
    readonly incarnation: bigint;
    readonly seat: Seat;
    /** Live hosts as this node knows them, itself included. */
    readonly liveHosts: () => readonly ShareHost[];
    /** Wall-clock time in ms, which shows that the whole host slept. */
    readonly wallClockMs?: () => number;
    readonly timings?: ShareTimings;
}

/** What one process holds of an organisation's rate and burst. */
export interface ShareHolding {
    /** Part of the rate that the process mints now. */
    readonly fraction: number;
    /** Tokens that were minted here and neither spent nor granted. */
    readonly tokens: number;
    /** Tokens that other processes granted to this one and that it has not spent. */
    readonly granted: number;
}

const RETRY_UNKNOWN_MS = 1_000;

/**
 * Every seat mints an equal share of each rate and burst. Seats lease their shares to a collector in their failure
 * domain, collectors lend each other by demand, and entry nodes spend tokens that the collector granted.
 */
export class LeasedShareLimiter implements RateLimiter {
    private readonly lender: ShareLender;
    private readonly collector: ShareCollector;
    private readonly server: GrantServer;
    private readonly client: GrantClient;
    private readonly queue: PoolQueue;
    private readonly timer: Timer;
    private readonly unsubscribe: () => void;
    private nextSettleMs = 0;
    private stopped = false;

    private constructor(private readonly context: ShareContext) {
        this.lender = ShareLender.create(context);
        this.collector = ShareCollector.create(context);
        this.server = GrantServer.create(context);
        this.client = GrantClient.create(context);
        this.queue = PoolQueue.create(context);
        this.unsubscribe = context.transport.subscribe(received => this.receive(received));
        this.timer = setRepeatingTimer(context.clock, context.timings.tickMs, () => this.tick());
    }

    static create(options: LeasedShareLimiterOptions): LeasedShareLimiter {
        return new LeasedShareLimiter(createContext(options));
    }

    setConfiguration(version: ConfigurationVersion): void {
        this.checkPause();
        this.context.state.setConfiguration(version);
    }

    async acquire(organisation: string): Promise<RateDecision> {
        const { state, demand, choice, seat, ownName } = this.context;
        this.checkPause();
        const share = state.settled(organisation);
        if (!share || this.stopped) {
            return { kind: "refused", retryAfterMs: RETRY_UNKNOWN_MS, withinRate: false };
        }
        demand.count(organisation);
        if (share.pool.tryTake(1)) {
            return { kind: "admitted" };
        }
        const collector = choice().collectorOf(seat.failureDomain, rangeOf(organisation));
        if (collector !== undefined && collector !== ownName) {
            return this.client.acquire(organisation, collector);
        }
        return this.queue.wait(organisation);
    }

    readyInMs(): number {
        return Math.max(0, this.context.guard.readyMs - this.context.clock.nowMs());
    }

    /** What this process holds of an organisation's rate and burst; undefined when the organisation is not known. */
    holdingOf(organisation: string): ShareHolding | undefined {
        const { state, clock } = this.context;
        this.checkPause();
        const share = state.settled(organisation);
        if (!share || this.stopped) {
            return undefined;
        }
        const nowMs = clock.nowMs();
        return {
            fraction: state.fractionOver(share, nowMs, nowMs),
            tokens: share.pool.balance,
            granted: this.client.heldTokens(organisation),
        };
    }

    /** Hands back all leases and stops; messages sent by it still have to go out. */
    close(): void {
        if (!this.stopped) {
            this.checkPause();
            this.collector.returnAll();
            this.client.close();
            this.queue.close();
            this.stopped = true;
            this.timer.cancel();
            this.unsubscribe();
        }
    }

    private tick(): void {
        this.checkPause();
        const nowMs = this.context.clock.nowMs();
        if (nowMs >= this.nextSettleMs) {
            this.context.state.settleAll();
            this.nextSettleMs = nowMs + this.context.timings.leaseRenewMs;
        }
        this.collector.tick();
        this.client.tick();
        this.queue.tick();
    }

    private receive(received: ReceivedMessage): void {
        this.checkPause();
        const { body } = received.message;
        switch (body.case) {
            case "leaseRequest":
                return this.lender.answer(received, body.value);
            case "leaseReturn":
                return this.lender.takeBack(received, body.value);
            case "leaseAnswer":
                this.noteSuperseding(body.value.askerIncarnation, body.value.supersedingIncarnation);
                return this.collector.accept(received, body.value);
            case "grantRequest":
                return this.server.answer(received, body.value);
            case "grantAnswer":
                this.noteSuperseding(body.value.askerIncarnation, body.value.supersedingIncarnation);
                return this.client.accept(received, body.value);
            default:
                return;
        }
    }

    private noteSuperseding(askerIncarnation: bigint, incarnation: bigint): void {
        if (askerIncarnation === this.context.incarnation && incarnation > 0n) {
            this.context.guard.supersede(incarnation);
        }
    }

    /** Discards everything that may have become invalid while the process was paused. */
    private checkPause(): void {
        if (this.context.guard.detectPause()) {
            this.context.state.discard();
            this.collector.discard();
            this.client.discard();
        }
    }
}

function createContext(options: LeasedShareLimiterOptions): ShareContext {
    const { clock, transport, audit, ownName, incarnation, seat, liveHosts } = options;
    const timings = options.timings ?? defaultShareTimings;
    const guard = SeatGuard.create({
        clock,
        wallClockMs: options.wallClockMs ?? (() => 0),
        timings,
        audit,
        host: ownName,
        incarnation,
        seat,
    });
    let choice = CollectorChoice.create(liveHosts());
    let checkedMs = clock.nowMs();
    let lastRequestId = 0n;
    return {
        clock,
        transport,
        audit,
        timings,
        ownName,
        incarnation,
        seat,
        guard,
        state: ShareState.create({ clock, guard, seat, driftFraction: timings.driftFraction }),
        demand: DemandBoard.create(clock),
        choice: () => {
            if (clock.nowMs() - checkedMs >= timings.tickMs) {
                checkedMs = clock.nowMs();
                choice = choice.withHosts(liveHosts());
            }
            return choice;
        },
        nextRequestId: () => ++lastRequestId,
    };
}
