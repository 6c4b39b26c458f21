/**
 * Notices that a peer stopped responding while calls to it are pending.
 *
 * A peer may need long for a request, so that it is pinged once it has been silent for a while. Most calls end before
 * that and cost no ping.
 */
import { alignedDelayMs } from "@radishrouter/core";
import type { Clock, Timer } from "@radishrouter/core";

/** Callbacks of a monitor. */
export interface ResponseMonitorOptions {
    readonly clock: Clock;
    /** Whether the peer owes a response. */
    readonly isWaiting: () => boolean;
    readonly ping: () => void;
    /** Called when the peer counts as unresponsive; the monitor has stopped then. */
    readonly onUnresponsive: () => void;
}

/** Time without a message after which the peer is pinged. */
const PING_AFTER_MS = 200;
/** Time without a message after which the peer counts as unresponsive. */
const UNRESPONSIVE_AFTER_MS = 550;
/** If a check runs this late, this process was delayed itself and may not have read the peer's messages yet. */
const MAXIMUM_DELAY_MS = 80;
const MINIMUM_CHECK_INTERVAL_MS = 100;

/** Watches one peer while it owes responses. */
export class ResponseMonitor {
    private lastHeardAtMs: number;
    /** Whether the peer was pinged since it was last heard. */
    private hasPinged = false;
    private isStopped = false;
    private timer: Timer | undefined;

    private constructor(private readonly options: ResponseMonitorOptions) {
        this.lastHeardAtMs = options.clock.nowMs();
    }

    static create(options: ResponseMonitorOptions): ResponseMonitor {
        return new ResponseMonitor(options);
    }

    /** Records that a message of the peer was read. */
    recordMessage(): void {
        this.lastHeardAtMs = this.options.clock.nowMs();
        this.hasPinged = false;
    }

    /** Starts watching, if the peer owes a response and is not watched yet. */
    watch(): void {
        if (this.timer || this.isStopped || !this.options.isWaiting()) {
            return;
        }
        this.recordMessage();
        this.schedule();
    }

    /** Stops watching for good. */
    stop(): void {
        this.isStopped = true;
        this.timer?.cancel();
    }

    private schedule(): void {
        const { clock } = this.options;
        const limitMs = this.hasPinged ? UNRESPONSIVE_AFTER_MS : PING_AFTER_MS;
        const remainingMs = this.lastHeardAtMs + limitMs - clock.nowMs();
        const delayMs = alignedDelayMs(clock, Math.max(MINIMUM_CHECK_INTERVAL_MS, remainingMs));
        const dueAtMs = clock.nowMs() + delayMs;
        this.timer = clock.setTimer(delayMs, () => this.check(dueAtMs));
    }

    private check(dueAtMs: number): void {
        const { clock, isWaiting, ping, onUnresponsive } = this.options;
        this.timer = undefined;
        if (this.isStopped || !isWaiting()) {
            return;
        }
        const nowMs = clock.nowMs();
        const silentMs = nowMs - this.lastHeardAtMs;
        if (silentMs > UNRESPONSIVE_AFTER_MS && nowMs - dueAtMs < MAXIMUM_DELAY_MS) {
            this.stop();
            onUnresponsive();
            return;
        }
        if (silentMs >= PING_AFTER_MS && !this.hasPinged) {
            this.hasPinged = true;
            ping();
        }
        this.schedule();
    }
}
