/**
 * When a process may mint for its seat.
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

/** Parts and settings of a guard. */
export interface SeatGuardOptions {
    readonly clock: Clock;
    /** Wall-clock time in ms; unlike `clock` it also moves while the whole host sleeps. */
    readonly wallClockMs: () => number;
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

/** Finds pauses of the process and other processes that claim the same seat. */
export class SeatGuard {
    private lastSeenMs: number;
    private lastWallMs: number;
    private ready: number;
    private superseded = false;
    private readonly holders = new Map<string, SeatHolder>();

    private constructor(private readonly options: SeatGuardOptions) {
        this.lastSeenMs = options.clock.nowMs();
        this.lastWallMs = options.wallClockMs();
        this.ready = this.lastSeenMs + restartWaitMs(options.timings);
    }

    static create(options: SeatGuardOptions): SeatGuard {
        return new SeatGuard(options);
    }

    /** Time from which the process mints; infinite once another process has taken the seat. */
    get readyMs(): number {
        return this.superseded ? Infinity : this.ready;
    }

    /**
     * Whether the process was paused since the last call.
     *
     * After a pause that is long enough for a replacement to have started, the process waits like a restarted one.
     */
    detectPause(): boolean {
        const nowMs = this.options.clock.nowMs();
        const wallMs = this.options.wallClockMs();
        const gapMs = Math.max(nowMs - this.lastSeenMs, wallMs - this.lastWallMs);
        this.lastSeenMs = nowMs;
        this.lastWallMs = wallMs;
        if (gapMs >= this.options.timings.leaseMs) {
            this.ready = nowMs + restartWaitMs(this.options.timings);
        }
        return gapMs >= this.options.timings.pauseMs;
    }

    /** Takes note of a claim; returns the incarnation of a later process with the same seat, or 0. */
    noteClaim(sender: SeatHolder, seat: Seat): bigint {
        if (this.isOwnSeat(seat) && sender.incarnation > this.options.incarnation) {
            this.supersede(sender.incarnation);
        }
        const key = `${seat.number}/${seat.failureDomain}`;
        const known = this.holders.get(key);
        if (!known || known.incarnation <= sender.incarnation) {
            this.holders.set(key, sender);
        }
        const holder = this.holders.get(key)!;
        const own = this.isOwnSeat(seat) ? this.options.incarnation : 0n;
        const highest = holder.incarnation > own ? holder.incarnation : own;
        return highest > sender.incarnation ? highest : 0n;
    }

    /** Stops minting for good because a later process holds the seat. */
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

    private isOwnSeat(seat: Seat): boolean {
        return seat.failureDomain === this.options.seat.failureDomain && seat.number === this.options.seat.number;
    }
}
