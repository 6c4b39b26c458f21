/**
 * Finds the sender that costs ordinary callers least when memory or connections run out: the one whose unfinished request
 * has made no progress for longest.
 *
 * Answers many requests that stop half-way and would hold what they have taken until their timeout.
 */
import type { Clock } from "@radishrouter/core";

/** Time without progress from which an unfinished request may be given up for another one. */
const GIVE_UP_AFTER_MS = 1_000;

/** An unfinished request or frame. */
export interface SenderProgress {
    /** Records that bytes have arrived. */
    record(): void;
    /** Ends watching: the request is complete or given up. */
    end(): void;
}

interface Sender {
    progressAtMs: number;
    readonly giveUp: () => void;
}

/** Senders of unfinished requests, in the order of their last progress. */
export class StalledSenders {
    private readonly senders = new Set<Sender>();

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): StalledSenders {
        return new StalledSenders(clock);
    }

    /** Watches a sender; `giveUp` is called at most once, and gives back what the sender has taken. */
    watch(giveUp: () => void): SenderProgress {
        const sender = { progressAtMs: this.clock.nowMs(), giveUp };
        this.senders.add(sender);
        return {
            record: () => {
                if (this.senders.delete(sender)) {
                    sender.progressAtMs = this.clock.nowMs();
                    this.senders.add(sender);
                }
            },
            end: () => void this.senders.delete(sender),
        };
    }

    /** Gives up the sender without progress for longest; returns false if all have made progress within a second. */
    giveUpOldest(): boolean {
        const [oldest] = this.senders;
        if (!oldest || this.clock.nowMs() - oldest.progressAtMs < GIVE_UP_AFTER_MS) {
            return false;
        }
        this.senders.delete(oldest);
        oldest.giveUp();
        return true;
    }
}
