/**
 * What one process holds and has lent of every rate.
 */
import type { ConfigurationVersion } from "../../version/configuration-version.js";
import type { Clock } from "../clock.js";
import { HeldLeases } from "./held-leases.js";
import { LoanBook } from "./loan-book.js";
import type { Seat, SeatGuard } from "./seat-guard.js";
import { RANGE_COUNT, rangeOf } from "./share-range.js";
import { TokenPool } from "./token-pool.js";
import type { RateLimits } from "./token-pool.js";

/** Parts of a state. */
export interface ShareStateOptions {
    readonly clock: Clock;
    readonly guard: SeatGuard;
    readonly seat: Seat;
    /** Largest deviation of any clock's rate from true time. */
    readonly driftFraction: number;
}

/** Shares of one range: the own seat's loans, and what was collected from other seats. */
export interface RangeShare {
    readonly range: number;
    /** Loans of the own seat's share; at most one borrower at a time. */
    readonly loans: LoanBook;
    /** Shares of other seats of the failure domain. */
    readonly collected: HeldLeases;
}

/** Shares of one organisation at this process. */
export interface OrganisationShare {
    readonly organisation: string;
    readonly range: RangeShare;
    readonly pool: TokenPool;
    /** What collectors of other failure domains lent. */
    readonly borrowed: HeldLeases;
    /** What was lent to collectors of other failure domains. */
    readonly loans: LoanBook;
}

/** Adds up shares; each part of a rate is counted at one process at a time. */
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

    /** Whether the version in force has no seat of this process's number. */
    get isSeatless(): boolean {
        return this.version !== undefined && this.seatFraction === 0;
    }

    /** Part of every rate that the own seat mints in the version in force. */
    get seatFraction(): number {
        const { failureDomain, number } = this.options.seat;
        const seats = this.version?.configuration.failureDomains[failureDomain]?.seats ?? 0;
        return this.version && number < seats ? 1 / this.version.shareCount : 0;
    }

    /** Settles all pools under the version in force and replaces it. */
    setConfiguration(version: ConfigurationVersion): void {
        this.settleAll();
        this.version = version;
        const names = version.configuration.organisations;
        for (const name of this.organisations.keys()) {
            if (!names[name]) {
                this.organisations.get(name)!.pool.empty(this.options.clock.nowMs());
            }
        }
        for (const name of Object.keys(names).filter(name => !this.organisations.has(name))) {
            this.organisations.set(name, this.createOrganisation(name));
        }
        for (const share of this.all()) {
            this.settle(share);
        }
    }

    /** Rate and burst of an organisation, slowed by the largest drift of the clock; undefined when it is not known. */
    limitsOf(organisation: string): RateLimits | undefined {
        const limits = this.version?.configuration.organisations[organisation];
        return limits ?
            { ratePerSecond: limits.rate * (1 - this.options.driftFraction), burst: limits.burst } :
            undefined;
    }

    /** Share of a range. */
    rangeShare(range: number): RangeShare | undefined {
        return this.ranges[range];
    }

    /** Share of an organisation with its pool minted up to now; undefined when the organisation is not known. */
    settled(organisation: string): OrganisationShare | undefined {
        const share = this.organisations.get(organisation);
        if (!share || !this.limitsOf(organisation)) {
            return undefined;
        }
        this.settle(share);
        return share;
    }

    /** Organisations of a range that the version in force knows, minted up to now. */
    settledRange(range: number): OrganisationShare[] {
        const shares = [...this.all()].filter(share => share.range.range === range);
        shares.forEach(share => this.settle(share));
        return shares;
    }

    /** Mints every pool up to now and forgets loans that have ended. */
    settleAll(): void {
        const nowMs = this.options.clock.nowMs();
        for (const share of this.all()) {
            this.settle(share);
            share.loans.prune(nowMs);
        }
        for (const range of this.ranges) {
            range.loans.prune(nowMs);
        }
    }

    /** Drops all tokens and everything borrowed, after a pause; loans and open grants stay counted. */
    discard(): void {
        const nowMs = this.options.clock.nowMs();
        this.ranges.forEach(range => range.collected.clear());
        for (const share of this.organisations.values()) {
            share.borrowed.clear();
            share.pool.empty(nowMs);
        }
    }

    /** Fraction of the whole that this process mints and holds burst for, in all of an interval. */
    fractionOver(share: OrganisationShare, fromMs: number, toMs: number): number {
        return Math.max(
            0,
            this.collectedOver(share.range, fromMs, toMs) + share.borrowed.heldAt(toMs) -
                share.loans.lentAt(fromMs),
        );
    }

    /** Fraction that the own seat and collected seats give, before anything is lent to other failure domains. */
    collectedOver(range: RangeShare, fromMs: number, toMs: number): number {
        const mints = this.options.guard.readyMs <= fromMs && range.loans.endsMs() <= fromMs;
        return (mints ? this.seatFraction : 0) + range.collected.heldAt(toMs);
    }

    private *all(): Iterable<OrganisationShare> {
        for (const share of this.organisations.values()) {
            if (this.limitsOf(share.organisation)) {
                yield share;
            }
        }
    }

    private settle(share: OrganisationShare): void {
        const limits = this.limitsOf(share.organisation);
        if (limits) {
            share.pool.settle(this.options.clock.nowMs(), limits);
        }
    }

    private createOrganisation(organisation: string): OrganisationShare {
        const share: OrganisationShare = {
            organisation,
            range: this.ranges[rangeOf(organisation)]!,
            pool: TokenPool.create(
                this.options.clock.nowMs(),
                (fromMs, toMs) => this.fractionOver(share, fromMs, toMs),
            ),
            borrowed: HeldLeases.create(),
            loans: LoanBook.create(),
        };
        return share;
    }
}
