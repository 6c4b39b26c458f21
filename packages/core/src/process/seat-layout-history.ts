/**
 * The published numbers of seats now and a while ago, since a change moves keys to other owners.
 */
import type { Configuration } from "../version/configuration.js";
import { findIdempotencyKeyOwner } from "../version/idempotency-key.js";
import type { IdempotencyKeyOwner } from "../version/idempotency-key.js";
import type { Clock } from "./clock.js";

type FailureDomains = Configuration["failureDomains"];

interface EarlierLayout {
    readonly failureDomains: FailureDomains;
    /** Until when requests have to be remembered that were authorised under it. */
    readonly untilMs: number;
}

/** Knows which seat owns a key, and whether another seat owned it while it may still be remembered there. */
export class SeatLayoutHistory {
    private current: FailureDomains | undefined;
    private earlier: EarlierLayout[] = [];

    private constructor(private readonly clock: Clock, private readonly retentionMs: number) {}

    static create(clock: Clock, options: { retentionMs: number; }): SeatLayoutHistory {
        return new SeatLayoutHistory(clock, options.retentionMs);
    }

    /** Takes over the layout of a configuration. */
    setFailureDomains(failureDomains: FailureDomains): void {
        if (this.current && nameOf(this.current) !== nameOf(failureDomains)) {
            const untilMs = this.clock.nowMs() + this.retentionMs;
            this.earlier = [...this.remembered(), { failureDomains: this.current, untilMs }];
        }
        this.current = failureDomains;
    }

    /** Owner of a key; undefined when there are no seats. */
    findOwner(key: string): IdempotencyKeyOwner | undefined {
        return findIdempotencyKeyOwner(key, this.current ?? {});
    }

    /** Milliseconds for which another seat may remember a key that a change has moved; 0 when none can. */
    keyHandoverRemainingMs(key: string): number {
        const owner = nameOf(this.findOwner(key));
        return this.remaining(
            this.remembered().filter(layout => nameOf(findIdempotencyKeyOwner(key, layout.failureDomains)) !== owner),
        );
    }

    /** Milliseconds for which other seats may remember the keys of a seat that a change has added; 0 for an old seat. */
    seatHandoverRemainingMs(failureDomain: string, seat: number): number {
        return this.remaining(
            this.remembered().filter(layout => seat >= (layout.failureDomains[failureDomain]?.seats ?? 0)),
        );
    }

    private remembered(): EarlierLayout[] {
        return this.earlier.filter(layout => layout.untilMs > this.clock.nowMs());
    }

    private remaining(layouts: readonly EarlierLayout[]): number {
        return Math.max(0, ...layouts.map(layout => layout.untilMs - this.clock.nowMs()));
    }
}

function nameOf(value: FailureDomains | IdempotencyKeyOwner | undefined): string {
    return JSON.stringify(value, (_name, item: unknown) => typeof item === "bigint" ? String(item) : item);
}
