/**
 * Limits rate and burst fleet-wide with leased shares. Each share is counted at one process at a time.
 */
import type { ControlTransport, ReceivedMessage } from "../../connection/control-transport.js";
import type { ConfigurationVersion } from "../../version/configuration-version.js";
import type { AuditTrail } from "../audit-trail.js";
import type { Clock, Timer } from "../clock.js";
import { setRepeatingTimer } from "../clock.js";
import type { RateDecision, RateLimiter } from "../rate-limiter.js";
import { DemandTracker } from "./demand-tracker.js";
import { GrantClient } from "./grant-client.js";
import { GrantServer } from "./grant-server.js";
import { SeatGuard } from "./seat-guard.js";
import type { Seat } from "./seat-guard.js";
import { ShareCollector } from "./share-collector.js";
import type { ShareContext } from "./share-context.js";
import { ShareLender } from "./share-lender.js";
import { CollectorAssignment, rangeOf } from "./share-range.js";
import type { ShareHost } from "./share-range.js";
import { ShareState } from "./share-state.js";
import { defaultShareTimings } from "./share-timings.js";
import type { ShareTimings } from "./share-timings.js";
import { TokenWaitQueue } from "./token-wait-queue.js";

/** Dependencies and settings of a limiter. */
export interface LeasedShareLimiterOptions {
    readonly clock: Clock;
    readonly transport: ControlTransport;
    readonly audit: AuditTrail;
    readonly ownName: string;
    /** Increases with each restart; the same as that of the transport. */
    readonly incarnation: bigint;
    readonly seat: Seat;
    /** Live hosts that this node knows of, including itself. */
    readonly liveHosts: () => readonly ShareHost[];
    /** Wall-clock time in ms; shows that the host slept, since the monotonic clock may stop meanwhile. */
    readonly bootClockMs?: () => number;
    readonly timings?: ShareTimings;
}

/** Fraction and tokens of an organisation that one process holds. */
export interface ShareHolding {
    /** Fraction of the rate for which the process generates tokens now. */
    readonly fraction: number;
    /** Tokens that were generated at this process and neither spent nor granted. */
    readonly tokens: number;
    /** Unspent tokens that other processes granted to this one. */
    readonly granted: number;
}

const UNKNOWN_ORGANISATION_RETRY_MS = 1_000;

/**
 * Every seat generates tokens for an equal share of each rate and burst. Seats lease their shares to a collector in
 * their failure domain, collectors of different failure domains lend shares to each other according to demand, and
 * entry nodes spend tokens that their collector granted.
 */
export class LeasedShareLimiter implements RateLimiter {
    private readonly lender: ShareLender;
    private readonly collector: ShareCollector;
    private readonly server: GrantServer;
    private readonly client: GrantClient;
    private readonly queue: TokenWaitQueue;
    private readonly timer: Timer;
    private readonly unsubscribe: () => void;
    private nextRefillMs = 0;
    private stopped = false;

    private constructor(private readonly context: ShareContext) {
        this.lender = ShareLender.create(context);
        this.collector = ShareCollector.create(context);
        this.server = GrantServer.create(context);
        this.client = GrantClient.create(context);
        this.queue = TokenWaitQueue.create(context);
        this.unsubscribe = context.transport.subscribe(received => this.receive(received));
        this.timer = setRepeatingTimer(context.clock, context.timings.tickMs, () => this.tick());
    }

    static create(options: LeasedShareLimiterOptions): LeasedShareLimiter {
        return new LeasedShareLimiter(createContext(options));
    }

    setConfiguration(version: ConfigurationVersion): void {
        this.handlePause();
        this.context.state.setConfiguration(version);
    }

    async acquire(organisation: string): Promise<RateDecision> {
        const { state, demand, assignment, seat, ownName } = this.context;
        this.handlePause();
        const share = state.refilledShare(organisation);
        if (!share || this.stopped) {
            return { kind: "refused", retryAfterMs: UNKNOWN_ORGANISATION_RETRY_MS, withinRate: false };
        }
        demand.count(organisation);
        if (share.pool.tryTake(1)) {
            return { kind: "admitted" };
        }
        const collector = assignment().collectorOf(seat.failureDomain, rangeOf(organisation));
        if (collector !== undefined && collector !== ownName) {
            return this.client.acquire(organisation, collector);
        }
        return this.queue.wait(organisation);
    }

    readyInMs(): number {
        return Math.max(0, this.context.guard.readyAtMs - this.context.clock.nowMs());
    }

    /** Fraction and tokens of an organisation that this process holds; undefined if the organisation is not known. */
    holdingOf(organisation: string): ShareHolding | undefined {
        const { state, clock } = this.context;
        this.handlePause();
        const share = state.refilledShare(organisation);
        if (!share || this.stopped) {
            return undefined;
        }
        const nowMs = clock.nowMs();
        return {
            fraction: state.fractionDuring(share, nowMs, nowMs),
            tokens: share.pool.balance,
            granted: this.client.unspentTokens(organisation),
        };
    }

    /** Returns all leases and stops; the messages that it sends must still be delivered. */
    close(): void {
        if (!this.stopped) {
            this.handlePause();
            this.collector.returnAll();
            this.client.close();
            this.queue.close();
            this.stopped = true;
            this.timer.cancel();
            this.unsubscribe();
        }
    }

    private tick(): void {
        this.handlePause();
        const nowMs = this.context.clock.nowMs();
        if (nowMs >= this.nextRefillMs) {
            this.context.state.refillAll();
            this.nextRefillMs = nowMs + this.context.timings.leaseRenewMs;
        }
        this.collector.tick();
        this.client.tick();
        this.queue.tick();
    }

    private receive(received: ReceivedMessage): void {
        this.handlePause();
        const { body } = received.message;
        switch (body.case) {
            case "leaseRequest":
                return this.lender.answer(received, body.value);
            case "leaseReturn":
                return this.lender.applyReturn(received, body.value);
            case "leaseAnswer":
                this.recordSuperseding(body.value.askerIncarnation, body.value.supersedingIncarnation);
                return this.collector.accept(received, body.value);
            case "grantRequest":
                return this.server.answer(received, body.value);
            case "grantAnswer":
                this.recordSuperseding(body.value.askerIncarnation, body.value.supersedingIncarnation);
                return this.client.accept(received, body.value);
            default:
                return;
        }
    }

    private recordSuperseding(askerIncarnation: bigint, incarnation: bigint): void {
        if (askerIncarnation === this.context.incarnation && incarnation > 0n) {
            this.context.guard.supersede(incarnation);
        }
    }

    /** Drops everything that may have become invalid if the process was paused. */
    private handlePause(): void {
        if (this.context.guard.detectPause()) {
            this.context.state.resetAfterPause();
            this.collector.resetAfterPause();
            this.client.resetAfterPause();
        }
    }
}

function createContext(options: LeasedShareLimiterOptions): ShareContext {
    const { clock, transport, audit, ownName, incarnation, seat, liveHosts } = options;
    const timings = options.timings ?? defaultShareTimings;
    const guard = SeatGuard.create({
        clock,
        bootClockMs: options.bootClockMs ?? (() => 0),
        timings,
        audit,
        host: ownName,
        incarnation,
        seat,
    });
    let currentAssignment = CollectorAssignment.create(liveHosts());
    let hostsCheckedAtMs = clock.nowMs();
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
        demand: DemandTracker.create(clock),
        assignment: () => {
            if (clock.nowMs() - hostsCheckedAtMs >= timings.tickMs) {
                hostsCheckedAtMs = clock.nowMs();
                currentAssignment = currentAssignment.withHosts(liveHosts());
            }
            return currentAssignment;
        },
        nextRequestId: () => ++lastRequestId,
    };
}
