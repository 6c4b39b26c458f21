/**
 * Send queue of one control stream.
 */
import type { Clock } from "@radishrouter/core";
import { delay } from "@radishrouter/core";
import type { ControlMessage } from "@radishrouter/protocol";

/** Time for which messages are collected into a batch. */
const BATCH_INTERVAL_MS = 50;

/** Collects the messages for a peer into batches, and measures how long the peer has sent nothing. */
export class ControlOutbox {
    private messages: ControlMessage[] = [];
    private wakeSender: (() => void) | undefined;
    private closed = false;
    private closeAction: (() => void) | undefined;
    private lastActivityMs: number;
    private unansweredSinceMs: number | undefined;

    private constructor(private readonly clock: Clock) {
        this.lastActivityMs = clock.nowMs();
    }

    static create(clock: Clock): ControlOutbox {
        return new ControlOutbox(clock);
    }

    get isClosed(): boolean {
        return this.closed;
    }

    /** Milliseconds since a message was last queued for the peer or a batch last arrived from it. */
    get idleMs(): number {
        return this.clock.nowMs() - this.lastActivityMs;
    }

    /** Milliseconds since a message was queued after the last batch of the peer arrived; 0 when there is no such one. */
    get unansweredMs(): number {
        return this.unansweredSinceMs === undefined ? 0 : this.clock.nowMs() - this.unansweredSinceMs;
    }

    /** Queues a message. */
    push(message: ControlMessage): void {
        this.messages.push(message);
        this.lastActivityMs = this.clock.nowMs();
        this.unansweredSinceMs ??= this.lastActivityMs;
        this.wakeSender?.();
    }

    /** Records that a batch of the peer arrived on the stream. */
    received(): void {
        this.lastActivityMs = this.clock.nowMs();
        this.unansweredSinceMs = undefined;
    }

    /** Sets the action that runs when the outbox is closed, for whatever reason. */
    onClose(action: () => void): void {
        this.closeAction = action;
    }

    /** Ends the sequence of batches; messages that are still queued are dropped. */
    close(): void {
        if (!this.closed) {
            this.closed = true;
            this.wakeSender?.();
            this.closeAction?.();
        }
    }

    /** Yields the queued messages, at most one batch per batch interval, until the outbox is closed. */
    async *batches(): AsyncGenerator<ControlMessage[]> {
        while (!this.closed) {
            if (this.messages.length === 0) {
                await new Promise<void>(resolve => (this.wakeSender = resolve));
            }
            await delay(this.clock, BATCH_INTERVAL_MS);
            const batch = this.messages;
            this.messages = [];
            if (batch.length > 0 && !this.closed) {
                yield batch;
            }
        }
    }
}
