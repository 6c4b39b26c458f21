/**
 * Limits each organisation to its rate and burst over all hosts.
 *
 * Handles an organisation that exceeds its rate, and organisations whose callers use some hosts more than others. Each
 * holder (a host that generates tokens for the organisation) generates its fraction of the rate and no other host
 * generates any, so the sum over all hosts stays within rate and burst by construction, even while hosts are
 * partitioned from each other. A host gives tokens that it does not need to a host that does; a token that is lost on
 * the way reduces capacity and never adds any.
 */
import type { Clock } from "@radishrouter/core";
import { decayFactor, highestScoringNames } from "@radishrouter/core";
import type { Organisation } from "../version/mesh-configuration.js";
import { PhasedLimit } from "./phased-limit.js";

interface Bucket {
    tokens: number;
    /** Time at which the tokens were refilled last. */
    refilledAtMs: number;
    /** Rate and burst of the organisation over all hosts. */
    readonly fleetRate: PhasedLimit;
    readonly fleetBurst: PhasedLimit;
    /** Fraction of the fleet's rate and burst that this host generates. */
    fraction: number;
    /** Rate that was active when the bucket was refilled last. */
    ratePerSecond: number;
    /** Requests per second that arrive at this node, weighted towards the last second. */
    demandPerSecond: number;
    demandUpdatedAtMs: number;
}

/** Hosts that generate tokens for an organisation, according to the host list of this node. */
export interface QuotaHolders {
    /** Addresses of the hosts; each generates an equal fraction of the rate. */
    readonly addresses: readonly string[];
    readonly includesLocalHost: boolean;
}

const SECOND_MS = 1000;
const DEMAND_HALF_LIFE_MS = 700;
/** A host keeps the tokens that its local callers are expected to need in this time. */
const LOCAL_RESERVE_MS = 250;
/** A host requests the tokens that its local callers are expected to need in this time. */
const REQUEST_HORIZON_MS = 300;
const MAXIMUM_GRANT = 64;

/** Token buckets of the organisations, each refilled with the fraction of the fleet's rate that this host generates. */
export class OrganisationQuota {
    private readonly buckets = new Map<string, Bucket>();
    private readonly holders = new Map<string, QuotaHolders>();
    private organisations = new Map<string, Organisation>();
    private readonly startedAtMs: number;

    private constructor(
        private readonly clock: Clock,
        private readonly localAddress: string,
        private readonly hosts: () => readonly string[],
        private readonly rateReductionMs: number,
    ) {
        this.startedAtMs = clock.nowMs();
    }

    /**
     * Creates the quota of the host at `localAddress` in a fleet of `hosts`, which includes that host. A rate that is
     * lowered decreases linearly over `rateReductionMs`.
     */
    static create(
        clock: Clock,
        localAddress: string,
        hosts: () => readonly string[],
        rateReductionMs: number,
    ): OrganisationQuota {
        return new OrganisationQuota(clock, localAddress, hosts, rateReductionMs);
    }

    /** Replaces the organisations with the published ones. */
    setOrganisations(organisations: readonly Organisation[]): void {
        this.organisations = new Map(organisations.map(organisation => [organisation.name, organisation]));
        for (const name of this.buckets.keys()) {
            if (!this.organisations.has(name)) {
                this.buckets.delete(name);
            }
        }
        this.updateShares();
    }

    /** Recomputes this host's shares after the host list or the rates have changed. */
    updateShares(): void {
        this.holders.clear();
        for (const [name, bucket] of this.buckets) {
            this.updateShare(this.organisations.get(name)!, bucket);
        }
    }

    /** Hosts that generate tokens for an organisation: all, or only as many as its burst has whole tokens. */
    holdersOf(organisation: Organisation): QuotaHolders {
        let holders = this.holders.get(organisation.name);
        if (!holders) {
            const hosts = this.hosts();
            const count = Math.max(1, Math.min(hosts.length, Math.floor(organisation.burst)));
            const addresses = count === hosts.length ? hosts : highestScoringNames(organisation.name, hosts, count);
            holders = { addresses, includesLocalHost: addresses.includes(this.localAddress) };
            this.holders.set(organisation.name, holders);
        }
        return holders;
    }

    /** Counts a request towards the demand of its organisation at this host. */
    recordDemand(organisation: Organisation): void {
        const bucket = this.bucketOf(organisation);
        this.decayDemand(bucket);
        bucket.demandPerSecond += SECOND_MS / DEMAND_HALF_LIFE_MS * Math.LN2;
    }

    /** Takes a token for one request; returns false when this host has none. */
    tryTake(organisation: Organisation): boolean {
        if (organisation.ratePerSecond <= 0) {
            return true;
        }
        const bucket = this.bucketOf(organisation);
        this.refill(bucket);
        if (bucket.tokens < 1) {
            return false;
        }
        bucket.tokens--;
        return true;
    }

    /** Number of tokens to request from another host while `waiting` requests need one now. */
    wanted(organisation: Organisation, waiting: number): number {
        const bucket = this.bucketOf(organisation);
        this.decayDemand(bucket);
        const expectedShortfall = (bucket.demandPerSecond - bucket.ratePerSecond) * REQUEST_HORIZON_MS / SECOND_MS;
        return Math.min(MAXIMUM_GRANT, Math.max(1, waiting, Math.ceil(expectedShortfall)));
    }

    /** Grants tokens to another host, except those that local callers are expected to need soon. */
    grant(organisationName: string, wanted: number): number {
        const organisation = this.organisations.get(organisationName);
        if (!organisation || !(wanted > 0)) {
            return 0;
        }
        const bucket = this.bucketOf(organisation);
        this.refill(bucket);
        this.decayDemand(bucket);
        const reserved = Math.floor(bucket.demandPerSecond * LOCAL_RESERVE_MS / SECOND_MS);
        const granted = Math.max(0, Math.min(wanted, MAXIMUM_GRANT, Math.floor(bucket.tokens - reserved)));
        bucket.tokens -= granted;
        return granted;
    }

    /** Adds tokens that another host granted. */
    receive(organisation: Organisation, tokens: number): void {
        const bucket = this.bucketOf(organisation);
        this.refill(bucket);
        bucket.tokens += tokens;
    }

    /** Time in ms until this host generates the next token; infinite when it generates none. */
    timeToNextTokenMs(organisation: Organisation): number {
        const bucket = this.bucketOf(organisation);
        this.refill(bucket);
        const missing = Math.max(0, 1 - bucket.tokens);
        return bucket.ratePerSecond > 0 ? missing / bucket.ratePerSecond * SECOND_MS : Infinity;
    }

    /** Ratio of the demand at this host to the rate at which it generates tokens; at least 1. */
    demandRatio(organisation: Organisation): number {
        const bucket = this.bucketOf(organisation);
        this.refill(bucket);
        this.decayDemand(bucket);
        return bucket.ratePerSecond > 0 ? Math.max(1, bucket.demandPerSecond / bucket.ratePerSecond) : 1;
    }

    private bucketOf(organisation: Organisation): Bucket {
        let bucket = this.buckets.get(organisation.name);
        if (!bucket) {
            // Starts empty, because the process that ran here before may have used its share. That process generates
            // nothing after this one has started, so tokens are due from then on.
            bucket = {
                tokens: 0,
                refilledAtMs: this.startedAtMs,
                fleetRate: PhasedLimit.create(this.clock, this.rateReductionMs, organisation.ratePerSecond),
                fleetBurst: PhasedLimit.create(this.clock, this.rateReductionMs, organisation.burst),
                fraction: 0,
                ratePerSecond: 0,
                demandPerSecond: 0,
                demandUpdatedAtMs: this.clock.nowMs(),
            };
            this.setShare(organisation, bucket);
            this.buckets.set(organisation.name, bucket);
        }
        return bucket;
    }

    private updateShare(organisation: Organisation, bucket: Bucket): void {
        this.refill(bucket);
        this.setShare(organisation, bucket);
    }

    private setShare(organisation: Organisation, bucket: Bucket): void {
        const { addresses, includesLocalHost } = this.holdersOf(organisation);
        bucket.fleetRate.change(organisation.ratePerSecond);
        bucket.fleetBurst.change(organisation.burst);
        bucket.fraction = includesLocalHost ? 1 / addresses.length : 0;
        bucket.ratePerSecond = bucket.fleetRate.current() * bucket.fraction;
    }

    /** Generates the tokens that are due; granted tokens beyond the burst are kept until they are used. */
    private refill(bucket: Bucket): void {
        const nowMs = this.clock.nowMs();
        const ratePerSecond = bucket.fleetRate.current() * bucket.fraction;
        const meanRate = (bucket.ratePerSecond + ratePerSecond) / 2;
        const generated = (nowMs - bucket.refilledAtMs) / SECOND_MS * meanRate;
        const burst = bucket.fleetBurst.current() * bucket.fraction;
        bucket.ratePerSecond = ratePerSecond;
        bucket.refilledAtMs = nowMs;
        if (bucket.tokens < burst) {
            bucket.tokens = Math.min(burst, bucket.tokens + generated);
        }
    }

    private decayDemand(bucket: Bucket): void {
        const nowMs = this.clock.nowMs();
        bucket.demandPerSecond *= decayFactor(nowMs - bucket.demandUpdatedAtMs, DEMAND_HALF_LIFE_MS);
        bucket.demandUpdatedAtMs = nowMs;
    }
}
