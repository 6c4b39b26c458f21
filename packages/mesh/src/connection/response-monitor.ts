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
    /** Called when a ping has had no response for a while; the peer may be cut off. */
    readonly onDoubtful: () => void;
    /** Called when the peer counts as unresponsive; the monitor has stopped then. */
    readonly onUnresponsive: () => void;
}

/** Time without a message after which the peer is pinged. */
const PING_AFTER_MS = 200;
/** Time without a message, most of it after a ping, after which the peer is in doubt. */
const DOUBTFUL_AFTER_MS = 300;
/** Time without a message after which the peer counts as unresponsive. */
const UNRESPONSIVE_AFTER_MS = 550;
/** If a timer fires this late, this process was delayed itself and may not have read the peer's messages yet. */
export const MAXIMUM_TIMER_DELAY_MS = 80;
const MINIMUM_CHECK_INTERVAL_MS = 50;

/** How far the silence of a peer has led. */
type SilenceStage = "heard" | "pinged" | "doubtful";

/** Silence at which each stage ends. */
const STAGE_LIMITS_MS: Readonly<Record<SilenceStage, number>> = {
    heard: PING_AFTER_MS,
    pinged: DOUBTFUL_AFTER_MS,
    doubtful: UNRESPONSIVE_AFTER_MS,
};

/** Watches one peer while it owes responses. */
export class ResponseMonitor {
    private lastHeardAtMs: number;
    /** What was concluded since the peer was last heard. */
    private stage: SilenceStage = "heard";
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
        this.stage = "heard";
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
        const remainingMs = this.lastHeardAtMs + STAGE_LIMITS_MS[this.stage] - clock.nowMs();
        const delayMs = alignedDelayMs(clock, Math.max(MINIMUM_CHECK_INTERVAL_MS, remainingMs));
        const dueAtMs = clock.nowMs() + delayMs;
        this.timer = clock.setTimer(delayMs, () => this.check(dueAtMs));
    }

    private check(dueAtMs: number): void {
        const { clock, isWaiting, onUnresponsive } = this.options;
        this.timer = undefined;
        if (this.isStopped || !isWaiting()) {
            return;
        }
        const nowMs = clock.nowMs();
        const silentMs = nowMs - this.lastHeardAtMs;
        const isLate = nowMs - dueAtMs >= MAXIMUM_TIMER_DELAY_MS;
        if (silentMs > UNRESPONSIVE_AFTER_MS && !isLate) {
            this.stop();
            onUnresponsive();
            return;
        }
        this.advance(silentMs, isLate);
        this.schedule();
    }

    private advance(silentMs: number, isLate: boolean): void {
        if (this.stage === "heard" && silentMs >= PING_AFTER_MS) {
            this.stage = "pinged";
            this.options.ping();
        }
        else if (this.stage === "pinged" && silentMs >= DOUBTFUL_AFTER_MS && !isLate) {
            this.stage = "doubtful";
            this.options.onDoubtful();
        }
    }
}
