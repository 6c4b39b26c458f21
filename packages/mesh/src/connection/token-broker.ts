/**
 * Gets tokens for organisations from other hosts when this one has none left.
 */
import type { Clock } from "@radishrouter/core";
import type { OrganisationQuota } from "../process/organisation-quota.js";
import type { Organisation } from "../version/mesh-configuration.js";

/** Whether a request is within the rate of its organisation. */
export type QuotaDecision =
    | { readonly kind: "within"; }
    | { readonly kind: "over"; readonly retryAfterMs: number; };

/** Parts of a broker. */
export interface TokenBrokerParts {
    readonly clock: Clock;
    readonly quota: OrganisationQuota;
    readonly ownAddress: string;
    /** Whether a host can be asked. */
    readonly isReachable: (address: string) => boolean;
    /** Asks a host for tokens; resolves with those that it gave. */
    readonly requestTokens: (address: string, organisation: string, wanted: number) => Promise<number>;
    readonly random?: () => number;
}

interface Search {
    waiting: number;
    readonly end: Promise<void>;
}

/** Time in which no search is made because the last ones found nothing. */
interface DrySpell {
    readonly untilMs: number;
    readonly durationMs: number;
}

const MAXIMUM_ASKED = 4;
/** After a search that found nothing, the fleet is taken to have no tokens for this time, doubled for each further. */
const DRY_AT_LEAST_MS = 250;
const DRY_AT_MOST_MS = 1_000;
const RETRY_AFTER_AT_LEAST_MS = 150;
const RETRY_AFTER_AT_MOST_MS = 2_000;

/** Decides whether requests are within the rate of their organisation, with what other hosts can spare. */
export class TokenBroker {
    private readonly searches = new Map<string, Search>();
    private readonly dry = new Map<string, DrySpell>();
    /** Position, among the hosts that can be asked, at which the next search begins. */
    private readonly nextToAsk = new Map<string, number>();
    private readonly random: () => number;

    private constructor(private readonly parts: TokenBrokerParts) {
        this.random = parts.random ?? Math.random;
    }

    static create(parts: TokenBrokerParts): TokenBroker {
        return new TokenBroker(parts);
    }

    /** Takes one request out of the rate of an organisation. */
    async take(organisation: Organisation): Promise<QuotaDecision> {
        const { clock, quota } = this.parts;
        quota.recordDemand(organisation);
        if (quota.tryTake(organisation)) {
            return { kind: "within" };
        }
        if (clock.nowMs() >= (this.dry.get(organisation.name)?.untilMs ?? 0)) {
            await this.search(organisation);
            if (quota.tryTake(organisation)) {
                return { kind: "within" };
            }
        }
        return { kind: "over", retryAfterMs: this.retryAfterMs(organisation) };
    }

    /** Joins the search for tokens that runs for the organisation, or starts one. */
    private async search(organisation: Organisation): Promise<void> {
        const { name } = organisation;
        let search = this.searches.get(name);
        if (!search) {
            search = { waiting: 0, end: this.askHosts(organisation) };
            this.searches.set(name, search);
        }
        search.waiting++;
        await search.end;
    }

    private async askHosts(organisation: Organisation): Promise<void> {
        const { quota, clock, requestTokens: ask } = this.parts;
        const { name } = organisation;
        // Requests that arrive together are to share the search.
        await Promise.resolve();
        let received = 0;
        let asked = "";
        const hosts = this.hostsToAsk(organisation);
        for (const address of hosts) {
            asked = address;
            const waiting = this.searches.get(name)?.waiting ?? 1;
            const wanted = quota.wanted(organisation, waiting) - received;
            const granted = await ask(address, name, wanted);
            quota.receive(organisation, granted);
            received += granted;
            if (received >= waiting) {
                break;
            }
        }
        this.searches.delete(name);
        this.continueAfter(organisation, asked, received > 0);
        if (received > 0) {
            this.dry.delete(name);
        }
        else {
            const before = this.dry.get(name);
            const durationMs = before ? Math.min(DRY_AT_MOST_MS, before.durationMs * 2) : DRY_AT_LEAST_MS;
            this.dry.set(name, { untilMs: clock.nowMs() + durationMs, durationMs });
        }
    }

    private reachableHolders(organisation: Organisation): string[] {
        const { quota, ownAddress, isReachable } = this.parts;
        const { addresses } = quota.holdersOf(organisation);
        return addresses.filter(address => address !== ownAddress && isReachable(address));
    }

    private hostsToAsk(organisation: Organisation): string[] {
        const reachable = this.reachableHolders(organisation);
        const start = (this.nextToAsk.get(organisation.name) ?? Math.floor(this.random() * reachable.length)) %
            Math.max(1, reachable.length);
        return [...reachable.slice(start), ...reachable.slice(0, start)].slice(0, MAXIMUM_ASKED);
    }

    /** The next search begins with the host that gave tokens last, or with the one after those that had none. */
    private continueAfter(organisation: Organisation, asked: string, hasGiven: boolean): void {
        const index = this.reachableHolders(organisation).indexOf(asked);
        this.nextToAsk.set(organisation.name, Math.max(0, index + (hasGiven ? 0 : 1)));
    }

    /**
     * Time after which a request may find a token, spread so that those refused together do not return together. When
     * much more is asked than there are tokens, who returns early is refused again, so that the time grows with the
     * excess.
     */
    private retryAfterMs(organisation: Organisation): number {
        const { quota } = this.parts;
        const untilMs = Math.max(RETRY_AFTER_AT_LEAST_MS, quota.timeToNextTokenMs(organisation)) *
            quota.demandRatio(organisation);
        const leastMs = Math.min(RETRY_AFTER_AT_MOST_MS, Math.max(RETRY_AFTER_AT_LEAST_MS, untilMs));
        return leastMs * (1 + this.random());
    }
}
