/**
 * Tokens of one organisation at the process that generates them, and its outstanding grants.
 */

/** Fleet-wide rate and burst of an organisation. */
export interface RateLimits {
    readonly ratePerSecond: number;
    readonly burst: number;
}

/** Fraction of the full rate that a process held throughout an interval. */
export type FractionDuring = (fromMs: number, toMs: number) => number;

interface OutstandingGrant {
    readonly entry: string;
    readonly requestId: bigint;
    readonly tokens: number;
    readonly expiresAtMs: number;
}

/**
 * Generates tokens for the held fraction. Tokens and outstanding grants together never exceed the burst of that
 * fraction.
 *
 * Call {@link refill} before every change of the fraction and before every use of the tokens.
 */
export class TokenPool {
    private tokens = 0;
    private refilledAtMs: number;
    private grants: OutstandingGrant[] = [];

    private constructor(nowMs: number, private readonly fractionDuring: FractionDuring) {
        this.refilledAtMs = nowMs;
    }

    static create(nowMs: number, fractionOver: FractionDuring): TokenPool {
        return new TokenPool(nowMs, fractionOver);
    }

    /** Tokens as of the last refill, including a partial one. */
    get balance(): number {
        return this.tokens;
    }

    /** Whole tokens that can be taken now. */
    get available(): number {
        return Math.floor(this.tokens);
    }

    /**
     * Generates the tokens due up to now. Leases that ended within the interval do not count as held, and loans and
     * grants that ended within it still count as outstanding, so a late call loses tokens and never adds any.
     */
    refill(nowMs: number, limits: RateLimits): void {
        const fraction = this.fractionDuring(this.refilledAtMs, nowMs);
        const capacity = fraction * limits.burst - this.outstandingTokens(this.refilledAtMs);
        const generated = fraction * limits.ratePerSecond * (nowMs - this.refilledAtMs) / 1000;
        this.tokens = Math.max(0, Math.min(this.tokens + generated, capacity));
        this.refilledAtMs = nowMs;
        this.grants = this.grants.filter(grant => grant.expiresAtMs > nowMs);
    }

    /** Takes `count` tokens if that many are available. */
    tryTake(count: number): boolean {
        if (this.tokens < count) {
            return false;
        }
        this.tokens -= count;
        return true;
    }

    /** Takes tokens and counts them as outstanding until the entry node has reported them spent or they have expired. */
    grant(entry: string, requestId: bigint, count: number, expiresAtMs: number): void {
        this.tokens -= count;
        this.grants.push({ entry, requestId, tokens: count, expiresAtMs });
    }

    /** Records how many tokens of the grants up to and including a request an entry node still holds. */
    recordHeld(entry: string, processedRequestId: bigint, held: number): void {
        const confirmed = this.grants.filter(grant => grant.entry === entry && grant.requestId <= processedRequestId);
        if (confirmed.length === 0) {
            return;
        }
        const outstanding = confirmed.reduce((sum, grant) => sum + grant.tokens, 0);
        const expiresAtMs = Math.max(...confirmed.map(grant => grant.expiresAtMs));
        this.grants = this.grants.filter(grant => !confirmed.includes(grant));
        if (held > 0) {
            this.grants.push({
                entry,
                requestId: processedRequestId,
                tokens: Math.min(held, outstanding),
                expiresAtMs,
            });
        }
    }

    /**
     * Postpones the expiry of the tokens that an entry node still holds; returns their number. Returns 0 and extends
     * nothing if the fraction has become too small for the outstanding grants, or unless the node has exactly one
     * outstanding grant.
     */
    extend(entry: string, expiresAtMs: number, fraction: number, limits: RateLimits): number {
        const ofEntry = this.grants.filter(grant => grant.entry === entry && grant.expiresAtMs > this.refilledAtMs);
        if (ofEntry.length !== 1 || this.outstandingTokens(this.refilledAtMs) > fraction * limits.burst) {
            return 0;
        }
        const [grant] = ofEntry as [OutstandingGrant];
        this.grants = this.grants.map(other => other === grant ? { ...grant, expiresAtMs } : other);
        return grant.tokens;
    }

    /** Number of tokens in grants that had not expired at a given time. */
    outstandingTokens(timeMs: number): number {
        let sum = 0;
        for (const grant of this.grants) {
            sum += grant.expiresAtMs > timeMs ? grant.tokens : 0;
        }
        return sum;
    }

    /** Time at which the last outstanding grant expires; 0 if there is none. */
    lastGrantExpiryMs(): number {
        return Math.max(0, ...this.grants.map(grant => grant.expiresAtMs));
    }

    /** Drops all tokens; outstanding grants stay counted. */
    clear(nowMs: number): void {
        this.tokens = 0;
        this.refilledAtMs = nowMs;
    }
}
