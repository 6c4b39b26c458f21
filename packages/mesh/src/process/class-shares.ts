/**
 * Measures which classes of importance are served less than a quarter of the served share of all requests.
 *
 * Handles more important classes that alone exceed the capacity: without a minimum, a less important class would get
 * nothing for as long as that lasts.
 */
import type { Clock } from "@radishrouter/core";
import { decayFactor } from "@radishrouter/core";
import { MINIMUM_CLASS_SHARE } from "./class-fractions.js";

/** Classes that are told apart; less important requests count as the last. */
export const SHARE_CLASSES = 8;
const HALF_LIFE_MS = 2_000;
/** Observations within this time decay together, which saves the power function on most requests. */
const DECAY_STEP_MS = 10;

/** Decaying counts of offered and served requests by class. */
export class ClassShares {
    private readonly offered = Array.from({ length: SHARE_CLASSES }, () => 0);
    private readonly served = Array.from({ length: SHARE_CLASSES }, () => 0);
    private totalOffered = 0;
    private totalServed = 0;
    private decayedAtMs: number;

    private constructor(private readonly clock: Clock) {
        this.decayedAtMs = clock.nowMs();
    }

    static create(clock: Clock): ClassShares {
        return new ClassShares(clock);
    }

    /** Records a request that arrives, whether it is served or not. */
    recordOffered(requestClass: number): void {
        this.decay();
        this.offered[requestClass]!++;
        this.totalOffered++;
    }

    /** Records a request that is served. */
    recordServed(requestClass: number): void {
        this.decay();
        this.served[requestClass]!++;
        this.totalServed++;
    }

    /** Whether a class is served less than the minimum. */
    isBelowMinimum(requestClass: number): boolean {
        const minimum = MINIMUM_CLASS_SHARE * this.totalServed * this.offered[requestClass]!;
        return this.served[requestClass]! * this.totalOffered < minimum;
    }

    private decay(): void {
        const nowMs = this.clock.nowMs();
        const elapsedMs = nowMs - this.decayedAtMs;
        if (elapsedMs < DECAY_STEP_MS) {
            return;
        }
        const factor = decayFactor(elapsedMs, HALF_LIFE_MS);
        for (let index = 0; index < SHARE_CLASSES; index++) {
            this.offered[index]! *= factor;
            this.served[index]! *= factor;
        }
        this.totalOffered *= factor;
        this.totalServed *= factor;
        this.decayedAtMs = nowMs;
    }
}
