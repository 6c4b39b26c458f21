/**
 * What waits to be sent on one control stream.
 */
import type { Clock } from "@radishrouter/core";
import { delay } from "@radishrouter/core";
import type { ControlMessage } from "@radishrouter/protocol";

const TICK_MS = 50;

/** Gathers messages so that they leave in one batch a tick, and notes whether the peer still answers. */
export class ControlOutbox {
    private messages: ControlMessage[] = [];
    private wake: (() => void) | undefined;
    private closed = false;
    private onClosed: (() => void) | undefined;
    private usedMs: number;
    private unansweredSinceMs: number | undefined;

    private constructor(private readonly clock: Clock) {
        this.usedMs = clock.nowMs();
    }

    static create(clock: Clock): ControlOutbox {
        return new ControlOutbox(clock);
    }

    get isClosed(): boolean {
        return this.closed;
    }

    /** Time since the stream last carried a message in either direction, in milliseconds. */
    get idleMs(): number {
        return this.clock.nowMs() - this.usedMs;
    }

    /** Time for which nothing came although something was sent, in milliseconds. */
    get silentMs(): number {
        return this.unansweredSinceMs === undefined ? 0 : this.clock.nowMs() - this.unansweredSinceMs;
    }

    /** Queues a message. */
    push(message: ControlMessage): void {
        this.messages.push(message);
        this.usedMs = this.clock.nowMs();
        this.unansweredSinceMs ??= this.usedMs;
        this.wake?.();
    }

    /** Notes that a batch of the peer arrived on the stream. */
    received(): void {
        this.usedMs = this.clock.nowMs();
        this.unansweredSinceMs = undefined;
    }

    /** Sets what to do when the stream is given up, whoever decides that. */
    whenClosed(action: () => void): void {
        this.onClosed = action;
    }

    /** Ends the batches. */
    close(): void {
        if (!this.closed) {
            this.closed = true;
            this.wake?.();
            this.onClosed?.();
        }
    }

    /** Yields what has gathered, at most once a tick, until closed. */
    async *batches(): AsyncGenerator<ControlMessage[]> {
        while (!this.closed) {
            if (this.messages.length === 0) {
                await new Promise<void>(resolve => (this.wake = resolve));
            }
            await delay(this.clock, TICK_MS);
            const batch = this.messages;
            this.messages = [];
            if (batch.length > 0 && !this.closed) {
                yield batch;
            }
        }
    }
}
