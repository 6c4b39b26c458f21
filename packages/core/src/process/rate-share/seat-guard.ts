/**
 * Decides when a process may generate tokens for its seat.
 */
import type { AuditTrail } from "../audit-trail.js";
import type { Clock } from "../clock.js";
import { restartWaitMs } from "./share-timings.js";
import type { ShareTimings } from "./share-timings.js";

/** One numbered slot of a failure domain. */
export interface Seat {
    readonly failureDomain: string;
    readonly number: number;
}

/** Dependencies and settings of a seat guard. */
export interface SeatGuardOptions {
    readonly clock: Clock;
    /** Time in ms that, unlike `clock`, also advances while the host sleeps; it does not follow the time of day. */
    readonly bootClockMs: () => number;
    readonly timings: ShareTimings;
    readonly audit: AuditTrail;
    readonly host: string;
    readonly incarnation: bigint;
    readonly seat: Seat;
}

interface SeatHolder {
    readonly host: string;
    readonly incarnation: bigint;
}

/** Detects pauses of the process, and other processes that claim the same seat. */
export class SeatGuard {
    private lastCheckMs: number;
    private lastBootClockMs: number;
    private ready: number;
    private superseded = false;
    private readonly holders = new Map<string, SeatHolder>();

    private constructor(private readonly options: SeatGuardOptions) {
        this.lastCheckMs = options.clock.nowMs();
        this.lastBootClockMs = options.bootClockMs();
        this.ready = this.lastCheckMs + restartWaitMs(options.timings);
    }

    static create(options: SeatGuardOptions): SeatGuard {
        return new SeatGuard(options);
    }

    /** Time from which the process may generate tokens; infinite once a later process has claimed the seat. */
    get readyAtMs(): number {
        return this.superseded ? Infinity : this.ready;
    }

    /**
     * Whether the process was paused since the last call.
     *
     * After a pause in which a replacement may have started, the process waits as long as after a restart.
     */
    detectPause(): boolean {
        const nowMs = this.options.clock.nowMs();
        const bootMs = this.options.bootClockMs();
        const gapMs = Math.max(nowMs - this.lastCheckMs, bootMs - this.lastBootClockMs);
        this.lastCheckMs = nowMs;
        this.lastBootClockMs = bootMs;
        if (gapMs >= this.options.timings.leaseMs) {
            this.ready = nowMs + restartWaitMs(this.options.timings);
        }
        return gapMs >= this.options.timings.pauseMs;
    }

    /** Records a claim to a seat; returns the incarnation of a later process that claims the same seat, or 0. */
    recordClaim(sender: SeatHolder, seat: Seat): bigint {
        if (this.isLocalSeat(seat) && sender.incarnation > this.options.incarnation) {
            this.supersede(sender.incarnation);
        }
        const key = `${seat.number}/${seat.failureDomain}`;
        const known = this.holders.get(key);
        if (!known || known.incarnation <= sender.incarnation) {
            this.holders.set(key, sender);
        }
        const holder = this.holders.get(key)!;
        const localIncarnation = this.isLocalSeat(seat) ? this.options.incarnation : 0n;
        const highest = holder.incarnation > localIncarnation ? holder.incarnation : localIncarnation;
        return highest > sender.incarnation ? highest : 0n;
    }

    /** Stops generating tokens permanently because a later process claims the seat. */
    supersede(incarnation: bigint): void {
        if (this.superseded || incarnation <= this.options.incarnation) {
            return;
        }
        this.superseded = true;
        const { seat, audit } = this.options;
        audit.record(
            "seat-conflict",
            `${seat.failureDomain}/${seat.number}`,
            `a later process (incarnation ${incarnation}) claims the seat; this one mints nothing more`,
        );
    }

    private isLocalSeat(seat: Seat): boolean {
        return seat.failureDomain === this.options.seat.failureDomain && seat.number === this.options.seat.number;
    }
}
