/**
 * Notices that this process read nothing for a while, so that what it reads now may have waited.
 *
 * A process is held up by its own work, by its host, or by a late start. What arrived meanwhile is read in some order,
 * and the news behind a request (its caller's end, its cancellation) may be read after it. Connections that wait to be
 * accepted are a backlog of their own: a turn of the event loop accepts one for each listener, however many wait.
 */
import Emittery from "emittery";
import type { Clock, Timer } from "./clock.js";
import { setRepeatingTimer } from "./clock.js";

/** Input that may have waited. */
export interface Backlog {
    readonly of: "input" | "connections";
    readonly waitedMs: number;
}

/** Surroundings of a watch that tests replace. */
export interface BacklogMonitorOptions {
    /** Time of day in ms; unlike the steady clock it counts the time for which the host was suspended. */
    readonly wallClock: () => number;
    /** Calls back when all that can be read in this turn of the event loop has been read. */
    readonly afterPollPhase: (callback: () => void) => void;
}

const TICK_MS = 20;
/** Time without reading from which input counts as having waited. */
const BACKLOG_FROM_MS = 100;

const systemOptions: BacklogMonitorOptions = {
    wallClock: Date.now,
    afterPollPhase: callback => void setImmediate(callback),
};

/** Tells since when what is read now may have waited, and when all that waited has been read. */
export class BacklogMonitor {
    /** Emits `noticed` when a backlog begins to be read, or when the last of many connections has been accepted. */
    readonly events: Emittery<{ noticed: Backlog; }> = new Emittery();
    private lastTickMs: number;
    private lastTickWallMs: number;
    /** Begin of the time in which nothing was read, for as long as what arrived in it is being read. */
    private unreadSinceMs: number | undefined;
    /** Earliest arrival of the first bytes of connections that were just accepted. */
    private readonly accepted = new WeakMap<object, number>();
    /** Begin of the unbroken row of turns that each accepted a connection. */
    private acceptingSinceMs: number | undefined;
    private acceptedCount = 0;
    private readonly timer: Timer;

    private constructor(private readonly clock: Clock, private readonly options: BacklogMonitorOptions) {
        this.lastTickMs = clock.nowMs();
        this.lastTickWallMs = options.wallClock();
        this.timer = setRepeatingTimer(clock, TICK_MS, () => this.tick());
    }

    static create(clock: Clock, options: Partial<BacklogMonitorOptions> = {}): BacklogMonitor {
        return new BacklogMonitor(clock, { ...systemOptions, ...options });
    }

    /** Records that a connection was accepted; its first bytes may have arrived with it, and are read a turn later. */
    recordAccepted(connection: object): void {
        this.notice();
        const nowMs = this.clock.nowMs();
        this.acceptingSinceMs ??= this.unreadSinceMs ?? nowMs;
        this.accepted.set(connection, this.unreadSinceMs ?? nowMs);
        const count = ++this.acceptedCount;
        this.afterTurns(2, () => {
            this.accepted.delete(connection);
            if (this.acceptedCount === count) {
                this.endAccepting();
            }
        });
    }

    /** Whether the first bytes of a connection are read, which may have waited as long as the connection. */
    isNewlyAccepted(connection: object): boolean {
        return this.accepted.has(connection);
    }

    /**
     * Earliest time of the clock at which what is now read from a connection can have arrived. How long a connection
     * waited to be accepted behind others is not known and not counted.
     */
    earliestArrivalMs(connection: object): number {
        this.notice();
        const unreadSinceMs = this.unreadSinceMs ?? this.clock.nowMs();
        return Math.min(unreadSinceMs, this.accepted.get(connection) ?? unreadSinceMs);
    }

    /** Whether the process reads what may have waited. */
    isReadingBacklog(): boolean {
        this.notice();
        return this.unreadSinceMs !== undefined;
    }

    /** Resolves when all that had arrived before this call has been read. */
    whenCaughtUp(): Promise<void> {
        // What is left of this turn may have been asked for already; the next one reads the rest.
        return new Promise(resolve => this.afterTurns(2, resolve));
    }

    /** Stops watching. */
    close(): void {
        this.timer.cancel();
    }

    private afterTurns(turns: number, callback: () => void): void {
        this.options.afterPollPhase(turns === 1 ? callback : () => this.afterTurns(turns - 1, callback));
    }

    /** A whole turn found no connection to accept. */
    private endAccepting(): void {
        const waitedMs = this.clock.nowMs() - (this.acceptingSinceMs ?? Infinity);
        this.acceptingSinceMs = undefined;
        if (waitedMs >= BACKLOG_FROM_MS) {
            void this.events.emit("noticed", { of: "connections", waitedMs });
        }
    }

    private tick(): void {
        this.notice();
        this.recordTick();
    }

    private recordTick(): void {
        this.lastTickMs = this.clock.nowMs();
        this.lastTickWallMs = this.options.wallClock();
    }

    /** Begins a backlog when the last tick is too long ago; input can be read before the first tick after a pause. */
    private notice(): void {
        const nowMs = this.clock.nowMs();
        const gapMs = Math.max(nowMs - this.lastTickMs, this.options.wallClock() - this.lastTickWallMs);
        if (gapMs < TICK_MS + BACKLOG_FROM_MS) {
            return;
        }
        const sinceMs = nowMs - gapMs;
        this.unreadSinceMs = sinceMs;
        this.recordTick();
        this.afterTurns(1, () => {
            if (this.unreadSinceMs === sinceMs) {
                this.unreadSinceMs = undefined;
            }
        });
        void this.events.emit("noticed", { of: "input", waitedMs: gapMs });
    }
}
