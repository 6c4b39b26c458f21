/**
 * Shares of every rate that one process holds and has lent.
 */
import type { ConfigurationVersion } from "../../version/configuration-version.js";
import type { Clock } from "../clock.js";
import { HeldLeases } from "./held-leases.js";
import { LoanBook } from "./loan-book.js";
import type { Seat, SeatGuard } from "./seat-guard.js";
import { RANGE_COUNT, rangeOf } from "./share-range.js";
import { TokenPool } from "./token-pool.js";
import type { RateLimits } from "./token-pool.js";

/** Dependencies and settings of a share state. */
export interface ShareStateOptions {
    readonly clock: Clock;
    readonly guard: SeatGuard;
    readonly seat: Seat;
    /** Maximum deviation of any clock's rate from true time. */
    readonly driftFraction: number;
}

/** Shares of one range: loans of the local seat's share, and shares collected from other seats. */
export interface RangeShare {
    readonly range: number;
    /** Loans of the local seat's share; at most one borrower at a time. */
    readonly loans: LoanBook;
    /** Shares leased from other seats of the failure domain. */
    readonly collected: HeldLeases;
}

/** Shares of one organisation at this process. */
export interface OrganisationShare {
    readonly organisation: string;
    readonly range: RangeShare;
    readonly pool: TokenPool;
    /** Shares that collectors of other failure domains lent to this process. */
    readonly borrowed: HeldLeases;
    /** Shares that this process lent to collectors of other failure domains. */
    readonly loans: LoanBook;
}

/** Adds up the shares of this process. Each fraction of a rate is counted at one process at a time. */
export class ShareState {
    private readonly ranges: readonly RangeShare[];
    private readonly organisations = new Map<string, OrganisationShare>();
    private version: ConfigurationVersion | undefined;

    private constructor(private readonly options: ShareStateOptions) {
        this.ranges = Array.from({ length: RANGE_COUNT }, (_, range) => ({
            range,
            loans: LoanBook.create(),
            collected: HeldLeases.create(),
        }));
    }

    static create(options: ShareStateOptions): ShareState {
        return new ShareState(options);
    }

    /** Whether the active version has no seat with the number of this process. */
    get isSeatless(): boolean {
        return this.version !== undefined && this.seatFraction === 0;
    }

    /** Fraction of every rate for which the local seat generates tokens in the active version. */
    get seatFraction(): number {
        const { failureDomain, number } = this.options.seat;
        const seats = this.version?.configuration.failureDomains[failureDomain]?.seats ?? 0;
        return this.version && number < seats ? 1 / this.version.shareCount : 0;
    }

    /** Refills all pools under the active version, and then replaces it. */
    setConfiguration(version: ConfigurationVersion): void {
        this.refillAll();
        this.version = version;
        const names = version.configuration.organisations;
        for (const name of this.organisations.keys()) {
            if (!names[name]) {
                this.organisations.get(name)!.pool.clear(this.options.clock.nowMs());
            }
        }
        for (const name of Object.keys(names).filter(name => !this.organisations.has(name))) {
            this.organisations.set(name, this.createOrganisation(name));
        }
        for (const share of this.configuredShares()) {
            this.refill(share);
        }
    }

    /** Rate, reduced by the maximum clock drift, and burst of an organisation; undefined if it is not known. */
    limitsOf(organisation: string): RateLimits | undefined {
        const limits = this.version?.configuration.organisations[organisation];
        return limits ?
            { ratePerSecond: limits.rate * (1 - this.options.driftFraction), burst: limits.burst } :
            undefined;
    }

    /** Shares of a range. */
    rangeShare(range: number): RangeShare | undefined {
        return this.ranges[range];
    }

    /** Share of an organisation, with its pool refilled up to now; undefined if the organisation is not known. */
    refilledShare(organisation: string): OrganisationShare | undefined {
        const share = this.organisations.get(organisation);
        if (!share || !this.limitsOf(organisation)) {
            return undefined;
        }
        this.refill(share);
        return share;
    }

    /** Shares of the organisations of a range in the active version, with their pools refilled up to now. */
    refilledRange(range: number): OrganisationShare[] {
        const shares = [...this.configuredShares()].filter(share => share.range.range === range);
        shares.forEach(share => this.refill(share));
        return shares;
    }

    /** Refills every pool up to now and removes expired loans. */
    refillAll(): void {
        const nowMs = this.options.clock.nowMs();
        for (const share of this.configuredShares()) {
            this.refill(share);
            share.loans.removeExpired(nowMs);
        }
        for (const range of this.ranges) {
            range.loans.removeExpired(nowMs);
        }
    }

    /** Drops all tokens and all held leases after a pause; loans and outstanding grants stay counted. */
    resetAfterPause(): void {
        const nowMs = this.options.clock.nowMs();
        this.ranges.forEach(range => range.collected.clear());
        for (const share of this.organisations.values()) {
            share.borrowed.clear();
            share.pool.clear(nowMs);
        }
    }

    /** Fraction of the full rate and burst that this process holds throughout an interval. */
    fractionDuring(share: OrganisationShare, fromMs: number, toMs: number): number {
        return Math.max(
            0,
            this.collectedDuring(share.range, fromMs, toMs) + share.borrowed.heldAt(toMs) -
                share.loans.lentAt(fromMs),
        );
    }

    /** Fraction of the local and collected seats throughout an interval, before lending to other failure domains. */
    collectedDuring(range: RangeShare, fromMs: number, toMs: number): number {
        const isGenerating = this.options.guard.readyAtMs <= fromMs && range.loans.lastExpiryMs() <= fromMs;
        return (isGenerating ? this.seatFraction : 0) + range.collected.heldAt(toMs);
    }

    private *configuredShares(): Iterable<OrganisationShare> {
        for (const share of this.organisations.values()) {
            if (this.limitsOf(share.organisation)) {
                yield share;
            }
        }
    }

    private refill(share: OrganisationShare): void {
        const limits = this.limitsOf(share.organisation);
        if (limits) {
            share.pool.refill(this.options.clock.nowMs(), limits);
        }
    }

    private createOrganisation(organisation: string): OrganisationShare {
        const share: OrganisationShare = {
            organisation,
            range: this.ranges[rangeOf(organisation)]!,
            pool: TokenPool.create(
                this.options.clock.nowMs(),
                (fromMs, toMs) => this.fractionDuring(share, fromMs, toMs),
            ),
            borrowed: HeldLeases.create(),
            loans: LoanBook.create(),
        };
        return share;
    }
}
