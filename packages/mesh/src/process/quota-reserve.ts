/**
 * Tokens for callers that cannot reach any holder of their organisation's quota, for example across a partition.
 *
 * They are generated beside the quota, so they are bounded by the excess that the operator tolerates: even two sides of
 * a partition that use their reserves at the same time stay within it.
 */
import type { Clock } from "@radishrouter/core";
import { TokenBucket } from "@radishrouter/core";
import type { Organisation } from "../version/mesh-configuration.js";

/** Excess over its rate that an operator tolerates of an organisation, in any window. */
export interface QuotaTolerance {
    /** Excess as a fraction of rate and burst. */
    readonly fraction: number;
    /** Further requests in a window. */
    readonly requests: number;
    readonly windowMs: number;
}

const SECOND_MS = 1_000;
/** Hosts that may use their reserves at the same time. */
const SIDES = 2;
/** Part of the tolerated requests that is generated over the window, and part that can be taken at once. */
const RATE_PART = 0.5;
const BURST_PART = 0.25;

/** Reserve tokens of this host, by organisation. */
export class QuotaReserve {
    private readonly buckets = new Map<string, TokenBucket>();

    private constructor(private readonly clock: Clock, private readonly tolerance: QuotaTolerance | undefined) {}

    /** Without a tolerance there is no reserve. */
    static create(clock: Clock, tolerance: QuotaTolerance | undefined): QuotaReserve {
        return new QuotaReserve(clock, tolerance);
    }

    /** Forgets the tokens of organisations that are not among those given. */
    retain(organisations: ReadonlyMap<string, Organisation>): void {
        for (const name of this.buckets.keys()) {
            if (!organisations.has(name)) {
                this.buckets.delete(name);
            }
        }
    }

    /** Takes up to `wanted` tokens; returns how many there were. */
    take(organisation: Organisation, wanted: number): number {
        const bucket = this.bucketOf(organisation);
        let taken = 0;
        while (taken < wanted && bucket?.tryTake()) {
            taken++;
        }
        return taken;
    }

    private bucketOf(organisation: Organisation): TokenBucket | undefined {
        if (!this.tolerance) {
            return undefined;
        }
        const { fraction, requests, windowMs } = this.tolerance;
        const sideRequests = requests / SIDES;
        const ratePerSecond = Math.min(
            organisation.ratePerSecond,
            organisation.ratePerSecond * fraction / SIDES + sideRequests * RATE_PART * SECOND_MS / windowMs,
        );
        const burst = Math.min(organisation.burst, sideRequests * BURST_PART);
        let bucket = this.buckets.get(organisation.name);
        if (bucket) {
            bucket.setLimits(ratePerSecond, burst);
        }
        else {
            bucket = TokenBucket.create(this.clock, { ratePerSecond, burst, initialTokens: Math.min(1, burst) });
            this.buckets.set(organisation.name, bucket);
        }
        return bucket;
    }
}
