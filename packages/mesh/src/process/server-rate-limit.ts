/**
 * Holds the requests to the local backend server within the rate that the server names in its responses, and within the
 * rate that it tolerates while it is cold; the lower one applies.
 *
 * All requests of the fleet pass the node on the server's host, so one token bucket there holds the rate exactly.
 */
import type { Clock } from "@radishrouter/core";
import { TokenBucket } from "@radishrouter/core";

/** Time for whose requests the bucket has room, so that requests which come together are not held up. */
const BURST_MS = 250;
/** The same for a cold server: a larger burst could exceed what may be written to it at once. */
const COLD_BURST_MS = 100;
/** Smallest rate that is used: without a request now and then, nothing would tell that the limit has ended. */
const MINIMUM_RATE_PER_SECOND = 0.5;
const SECOND_MS = 1_000;

/** Rate limit of the local backend server; without one, requests pass freely. */
export class ServerRateLimit {
    private bucket: TokenBucket | undefined;
    private namedRatePerSecond: number | undefined;
    private coldRatePerSecond: number | undefined;

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): ServerRateLimit {
        return new ServerRateLimit(clock);
    }

    /** Rate in requests a second that the server named; undefined if it names none. */
    get ratePerSecond(): number | undefined {
        return this.namedRatePerSecond;
    }

    /** Rate in requests a second that is in force; undefined if there is none. */
    get effectiveRatePerSecond(): number | undefined {
        const rates = [this.namedRatePerSecond, this.coldRatePerSecond].filter(rate => rate !== undefined);
        return rates.length > 0 ? Math.min(...rates) : undefined;
    }

    /** Sets the rate that the server names, or undefined when it names none any more. */
    set(ratePerSecond: number | undefined): void {
        if (ratePerSecond !== this.namedRatePerSecond) {
            this.namedRatePerSecond = ratePerSecond;
            this.update();
        }
    }

    /** Sets the rate that the server tolerates because it is cold, or undefined when it is not. */
    setCold(ratePerSecond: number | undefined): void {
        if (ratePerSecond !== this.coldRatePerSecond) {
            const begins = this.coldRatePerSecond === undefined;
            this.coldRatePerSecond = ratePerSecond;
            if (begins) {
                // A new bucket has no tokens: a burst at the begin could follow that of a period just before.
                this.bucket = TokenBucket.create(this.clock, { ratePerSecond: 1, burst: 1, initialTokens: 0 });
            }
            this.update();
        }
    }

    /** Takes the token of a health check to a cold server, in advance if there is none. */
    chargeCold(): void {
        const ratePerSecond = this.effectiveRatePerSecond;
        if (!this.bucket || ratePerSecond === undefined || this.coldRatePerSecond === undefined) {
            return;
        }
        const tokens = 1 - this.bucket.timeUntilAvailableMs(1) * ratePerSecond / SECOND_MS;
        this.bucket = this.createBucket(ratePerSecond, tokens - 1);
    }

    /** Takes the token of one request, if there is one. */
    tryTake(): boolean {
        return this.bucket?.tryTake() ?? true;
    }

    /** Time in ms until the tokens of `count` requests are available. */
    timeUntilAvailableMs(count: number): number {
        return this.bucket?.timeUntilAvailableMs(count) ?? 0;
    }

    private update(): void {
        const ratePerSecond = this.effectiveRatePerSecond;
        this.bucket = ratePerSecond === undefined ? undefined : this.updateBucket(ratePerSecond);
    }

    private updateBucket(effectiveRatePerSecond: number): TokenBucket {
        if (!this.bucket) {
            return this.createBucket(effectiveRatePerSecond, this.burstOf(effectiveRatePerSecond));
        }
        this.bucket.setLimits(
            Math.max(MINIMUM_RATE_PER_SECOND, effectiveRatePerSecond),
            this.burstOf(effectiveRatePerSecond),
        );
        return this.bucket;
    }

    private createBucket(effectiveRatePerSecond: number, initialTokens: number): TokenBucket {
        const ratePerSecond = Math.max(MINIMUM_RATE_PER_SECOND, effectiveRatePerSecond);
        return TokenBucket.create(this.clock, {
            ratePerSecond,
            burst: this.burstOf(effectiveRatePerSecond),
            initialTokens,
        });
    }

    private burstOf(ratePerSecond: number): number {
        const burstMs = this.coldRatePerSecond === undefined ? BURST_MS : COLD_BURST_MS;
        return Math.max(1, Math.max(MINIMUM_RATE_PER_SECOND, ratePerSecond) * burstMs / SECOND_MS);
    }
}
