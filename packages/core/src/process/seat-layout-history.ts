/**
 * Current and recent seat layouts (the number of seats of each failure domain). A change of the layout moves
 * idempotency keys to other owners, while the previous owners may still remember requests with these keys.
 */
import type { Configuration } from "../version/configuration.js";
import { findIdempotencyKeyOwner } from "../version/idempotency-key.js";
import type { IdempotencyKeyOwner } from "../version/idempotency-key.js";
import type { Clock } from "./clock.js";

type FailureDomains = Configuration["failureDomains"];

interface PreviousLayout {
    readonly failureDomains: FailureDomains;
    /** Time until which requests that were authorised under this layout must be remembered. */
    readonly untilMs: number;
}

/** Finds the owner of a key, and whether a previous owner may still remember requests with it. */
export class SeatLayoutHistory {
    private current: FailureDomains | undefined;
    private previousLayouts: PreviousLayout[] = [];

    private constructor(private readonly clock: Clock, private readonly retentionMs: number) {}

    static create(clock: Clock, options: { retentionMs: number; }): SeatLayoutHistory {
        return new SeatLayoutHistory(clock, options.retentionMs);
    }

    /** Applies the layout of a configuration. */
    setFailureDomains(failureDomains: FailureDomains): void {
        if (this.current && toComparableText(this.current) !== toComparableText(failureDomains)) {
            const untilMs = this.clock.nowMs() + this.retentionMs;
            this.previousLayouts = [...this.retainedLayouts(), { failureDomains: this.current, untilMs }];
        }
        this.current = failureDomains;
    }

    /** Owner of a key; undefined if there are no seats. */
    findOwner(key: string): IdempotencyKeyOwner | undefined {
        return findIdempotencyKeyOwner(key, this.current ?? {});
    }

    /** Milliseconds for which a previous owner may still remember a key that has moved; 0 if none can. */
    keyHandoverRemainingMs(key: string): number {
        const owner = toComparableText(this.findOwner(key));
        return this.longestRemainingMs(
            this.retainedLayouts().filter(layout =>
                toComparableText(findIdempotencyKeyOwner(key, layout.failureDomains)) !== owner
            ),
        );
    }

    /** Milliseconds for which previous owners may still remember the keys of a new seat; 0 if the seat is not new. */
    seatHandoverRemainingMs(failureDomain: string, seat: number): number {
        return this.longestRemainingMs(
            this.retainedLayouts().filter(layout => seat >= (layout.failureDomains[failureDomain]?.seats ?? 0)),
        );
    }

    private retainedLayouts(): PreviousLayout[] {
        return this.previousLayouts.filter(layout => layout.untilMs > this.clock.nowMs());
    }

    private longestRemainingMs(layouts: readonly PreviousLayout[]): number {
        return Math.max(0, ...layouts.map(layout => layout.untilMs - this.clock.nowMs()));
    }
}

function toComparableText(value: FailureDomains | IdempotencyKeyOwner | undefined): string {
    return JSON.stringify(value, (_name, item: unknown) => typeof item === "bigint" ? String(item) : item);
}
