/**
 * Detects that the event loop was blocked, so that the input that the process reads next may have arrived earlier.
 *
 * The event loop is blocked by the process's own work, by its host, or by delayed scheduling. Input that arrived in the
 * meantime (the input backlog) is read in no particular order: an update about a request, such as its cancellation or
 * the disconnect of its caller, may be read after the request. Connections that wait to be accepted are a separate
 * backlog: an event loop iteration accepts only one per listener, however many wait.
 */
import Emittery from "emittery";
import { readBootClockMs } from "./boot-clock.js";
import type { Clock, Timer } from "./clock.js";
import { setAlignedTimer } from "./clock.js";

/** A backlog that was detected. */
export interface Backlog {
    readonly of: "input" | "connections";
    /** Time for which the oldest input may have waited, or over which the connections were accepted. */
    readonly waitedMs: number;
}

/** Environment of a backlog monitor, which tests replace. */
export interface BacklogMonitorOptions {
    /** Time in ms that, unlike the monotonic clock, includes the time for which the host was suspended. */
    readonly bootClock: () => number;
    /** Calls back after the poll phase of this event loop iteration, in which all readable input is read. */
    readonly afterPollPhase: (callback: () => void) => void;
}

const TICK_MS = 50;
/** Shortest time since the last tick from which the event loop counts as blocked. */
const MINIMUM_GAP_MS = 120;
/** Shortest time over which connections were accepted that counts as a backlog. */
const MINIMUM_BACKLOG_MS = 100;

/**
 * Time after a backlog within which the connections that waited during it are accepted; under lasting overload, a sequence
 * of accepted connections does not end, and later ones have not waited for so long.
 */
const MAXIMUM_BURST_MS = 500;

const systemOptions: BacklogMonitorOptions = {
    bootClock: readBootClockMs,
    afterPollPhase: callback => void setImmediate(callback),
};

/** Reports how early the input that is being read may have arrived, and when the backlog has been read. */
export class BacklogMonitor {
    /** Emits `noticed` when the process starts to read an input backlog, or has accepted a backlog of connections. */
    readonly events: Emittery<{ noticed: Backlog; }> = new Emittery();
    private lastTickMs: number;
    private lastTickBootMs: number;
    /** Time at which the event loop became blocked; set only while the input backlog is being read. */
    private backlogSinceMs: number | undefined;
    /** Newly accepted connections, each with the earliest time at which its first bytes can have arrived. */
    private readonly acceptedConnections = new WeakMap<object, number>();
    /** Start of the uninterrupted sequence of event loop iterations that each accepted a connection. */
    private acceptBurstStartMs: number | undefined;
    /** Backlog that the sequence began with, or that was noticed in it: its connections may have waited since then. */
    private burstBacklog: { readonly sinceMs: number; readonly noticedAtMs: number; } | undefined;
    private acceptedCount = 0;
    private readonly timer: Timer;

    private constructor(private readonly clock: Clock, private readonly options: BacklogMonitorOptions) {
        this.lastTickMs = clock.nowMs();
        this.lastTickBootMs = options.bootClock();
        this.timer = setAlignedTimer(clock, TICK_MS, () => this.tick());
    }

    static create(clock: Clock, options: Partial<BacklogMonitorOptions> = {}): BacklogMonitor {
        return new BacklogMonitor(clock, { ...systemOptions, ...options });
    }

    /** Records an accepted connection. Its first bytes may have arrived with it; they are read one iteration later. */
    recordAccepted(connection: object): void {
        this.detectBacklog();
        const nowMs = this.clock.nowMs();
        this.acceptBurstStartMs ??= this.backlogSinceMs ?? nowMs;
        this.recordBurstBacklog();
        this.acceptedConnections.set(connection, this.burstBacklog?.sinceMs ?? nowMs);
        const count = ++this.acceptedCount;
        this.afterIterations(2, () => {
            this.acceptedConnections.delete(connection);
            if (this.acceptedCount === count) {
                this.endAcceptBurst();
            }
        });
    }

    /** Whether a connection was just accepted, so that its first bytes may have waited as long as the connection. */
    isNewlyAccepted(connection: object): boolean {
        return this.acceptedConnections.has(connection);
    }

    /**
     * Earliest time of the clock at which the input that is now read from a connection can have arrived. Of the time for
     * which a connection waited to be accepted behind others, only that since a blocked event loop is known.
     */
    earliestArrivalMs(connection: object): number {
        this.detectBacklog();
        const arrivedAtMs = this.backlogSinceMs ?? this.clock.nowMs();
        return Math.min(arrivedAtMs, this.acceptedConnections.get(connection) ?? arrivedAtMs);
    }

    /** Whether the input that is read now may have arrived while the event loop was blocked. */
    isReadingBacklog(): boolean {
        this.detectBacklog();
        return this.backlogSinceMs !== undefined;
    }

    /** Resolves when all input that arrived before this call has been read. */
    whenCaughtUp(): Promise<void> {
        // The poll phase of this iteration may already have selected its sockets; the next iteration reads the rest.
        return new Promise(resolve => this.afterIterations(2, resolve));
    }

    /** Stops monitoring. */
    close(): void {
        this.timer.cancel();
    }

    private afterIterations(iterations: number, callback: () => void): void {
        this.options.afterPollPhase(
            iterations === 1 ? callback : () => this.afterIterations(iterations - 1, callback),
        );
    }

    /** Remembers a backlog for the connections that are accepted in the following iterations. */
    private recordBurstBacklog(): void {
        const nowMs = this.clock.nowMs();
        if (this.burstBacklog && nowMs - this.burstBacklog.noticedAtMs > MAXIMUM_BURST_MS) {
            this.burstBacklog = undefined;
        }
        if (this.backlogSinceMs !== undefined) {
            this.burstBacklog ??= { sinceMs: this.backlogSinceMs, noticedAtMs: nowMs };
        }
    }

    /** Ends the sequence of accepted connections; called when a complete iteration had no connection to accept. */
    private endAcceptBurst(): void {
        const waitedMs = this.clock.nowMs() - (this.acceptBurstStartMs ?? Infinity);
        this.acceptBurstStartMs = undefined;
        this.burstBacklog = undefined;
        if (waitedMs >= MINIMUM_BACKLOG_MS) {
            void this.events.emit("noticed", { of: "connections", waitedMs });
        }
    }

    private tick(): void {
        this.detectBacklog();
        this.recordTick();
    }

    private recordTick(): void {
        this.lastTickMs = this.clock.nowMs();
        this.lastTickBootMs = this.options.bootClock();
    }

    /** Detects a backlog from the time since the last tick. Also called on reads, which may precede the next tick. */
    private detectBacklog(): void {
        const nowMs = this.clock.nowMs();
        const gapMs = Math.max(nowMs - this.lastTickMs, this.options.bootClock() - this.lastTickBootMs);
        if (gapMs < MINIMUM_GAP_MS) {
            return;
        }
        const sinceMs = nowMs - gapMs;
        this.backlogSinceMs = sinceMs;
        this.recordTick();
        this.afterIterations(1, () => {
            if (this.backlogSinceMs === sinceMs) {
                this.backlogSinceMs = undefined;
            }
        });
        void this.events.emit("noticed", { of: "input", waitedMs: gapMs });
    }
}
