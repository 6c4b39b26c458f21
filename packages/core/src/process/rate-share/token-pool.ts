/**
 * Tokens of one organisation at the process that mints them, with the grants that are still out.
 */

/** Rate and burst of an organisation, over all hosts. */
export interface RateLimits {
    readonly ratePerSecond: number;
    readonly burst: number;
}

/** Fraction of the whole that a process held during all of an interval. */
export type FractionOver = (fromMs: number, toMs: number) => number;

interface OpenGrant {
    readonly entry: string;
    readonly requestId: bigint;
    readonly tokens: number;
    readonly endsMs: number;
}

/**
 * Mints for the fraction that is held; tokens and open grants together never exceed the burst of that fraction.
 *
 * Every change of the fraction has to be preceded by {@link settle}, and so has every use of the tokens.
 */
export class TokenPool {
    private tokens = 0;
    private settledMs: number;
    private grants: OpenGrant[] = [];

    private constructor(nowMs: number, private readonly fractionOver: FractionOver) {
        this.settledMs = nowMs;
    }

    static create(nowMs: number, fractionOver: FractionOver): TokenPool {
        return new TokenPool(nowMs, fractionOver);
    }

    /** Tokens as of the last settling, with the started one. */
    get balance(): number {
        return this.tokens;
    }

    /** Whole tokens that can be taken now. */
    get available(): number {
        return Math.floor(this.tokens);
    }

    /**
     * Mints up to now. What ended within the interval counts neither as held nor as returned, so that a late call loses
     * tokens and never adds any.
     */
    settle(nowMs: number, limits: RateLimits): void {
        const fraction = this.fractionOver(this.settledMs, nowMs);
        const room = fraction * limits.burst - this.openTokens(this.settledMs);
        const minted = fraction * limits.ratePerSecond * (nowMs - this.settledMs) / 1000;
        this.tokens = Math.max(0, Math.min(this.tokens + minted, room));
        this.settledMs = nowMs;
        this.grants = this.grants.filter(grant => grant.endsMs > nowMs);
    }

    /** Takes whole tokens if there are as many. */
    tryTake(count: number): boolean {
        if (this.tokens < count) {
            return false;
        }
        this.tokens -= count;
        return true;
    }

    /** Takes tokens and counts them as open until the entry node has spent them or they have expired. */
    grant(entry: string, requestId: bigint, count: number, endsMs: number): void {
        this.tokens -= count;
        this.grants.push({ entry, requestId, tokens: count, endsMs });
    }

    /** Takes note that an entry node still holds so much of the grants up to a request. */
    confirm(entry: string, processedRequestId: bigint, held: number): void {
        const confirmed = this.grants.filter(grant => grant.entry === entry && grant.requestId <= processedRequestId);
        if (confirmed.length === 0) {
            return;
        }
        const open = confirmed.reduce((sum, grant) => sum + grant.tokens, 0);
        const endsMs = Math.max(...confirmed.map(grant => grant.endsMs));
        this.grants = this.grants.filter(grant => !confirmed.includes(grant));
        if (held > 0) {
            this.grants.push({ entry, requestId: processedRequestId, tokens: Math.min(held, open), endsMs });
        }
    }

    /**
     * Lets what an entry node still holds live on until a later time; returns how many tokens, which is 0 when the
     * fraction has become too small for the open grants.
     */
    extend(entry: string, endsMs: number, fraction: number, limits: RateLimits): number {
        const own = this.grants.filter(grant => grant.entry === entry && grant.endsMs > this.settledMs);
        if (own.length !== 1 || this.openTokens(this.settledMs) > fraction * limits.burst) {
            return 0;
        }
        const [grant] = own as [OpenGrant];
        this.grants = this.grants.map(other => other === grant ? { ...grant, endsMs } : other);
        return grant.tokens;
    }

    /** Tokens of grants that had not ended at a time. */
    openTokens(timeMs: number): number {
        let sum = 0;
        for (const grant of this.grants) {
            sum += grant.endsMs > timeMs ? grant.tokens : 0;
        }
        return sum;
    }

    /** Time at which the last open grant ends; 0 when there is none. */
    grantsEndMs(): number {
        return Math.max(0, ...this.grants.map(grant => grant.endsMs));
    }

    /** Drops all tokens, after a pause; open grants stay counted. */
    empty(nowMs: number): void {
        this.tokens = 0;
        this.settledMs = nowMs;
    }
}
