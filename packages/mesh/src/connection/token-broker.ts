/**
 * Requests tokens for organisations from other hosts when this host has none left.
 */
import type { Clock } from "@radishrouter/core";
import type { OrganisationQuota } from "../process/organisation-quota.js";
import type { Organisation } from "../version/mesh-configuration.js";

/** Whether a request is within the rate of its organisation. */
export type QuotaDecision =
    | { readonly kind: "within"; }
    | { readonly kind: "over"; readonly retryAfterMs: number; };

/** Collaborators and settings of a broker. */
export interface TokenBrokerDependencies {
    readonly clock: Clock;
    readonly quota: OrganisationQuota;
    readonly localAddress: string;
    /** Whether tokens can be requested from a host. */
    readonly isReachable: (address: string) => boolean;
    /** Requests tokens from a host; resolves with the number granted. */
    readonly requestTokens: (address: string, organisation: string, wanted: number) => Promise<number>;
    readonly random?: () => number;
}

/** A running search for tokens of one organisation. */
interface Search {
    /** Requests that wait for the search. */
    waiting: number;
    readonly end: Promise<void>;
}

/** Time in which no search is started because the last searches found no tokens. */
interface SearchBackoff {
    readonly untilMs: number;
    readonly durationMs: number;
}

const MAXIMUM_HOSTS_PER_SEARCH = 4;
/**
 * After a search that found no tokens, the fleet is assumed to have none for this time. The time doubles with each
 * further search that finds none, up to the maximum.
 */
const MINIMUM_BACKOFF_MS = 250;
const MAXIMUM_BACKOFF_MS = 1_000;
const MINIMUM_RETRY_AFTER_MS = 150;
const MAXIMUM_RETRY_AFTER_MS = 2_000;

/** Decides whether requests are within the rate of their organisation, using tokens that other hosts can spare. */
export class TokenBroker {
    private readonly searches = new Map<string, Search>();
    private readonly backoffs = new Map<string, SearchBackoff>();
    /** Index, in the list of reachable token hosts, of the host that the next search begins with; by organisation. */
    private readonly nextHostIndex = new Map<string, number>();
    private readonly random: () => number;

    private constructor(private readonly dependencies: TokenBrokerDependencies) {
        this.random = dependencies.random ?? Math.random;
    }

    static create(dependencies: TokenBrokerDependencies): TokenBroker {
        return new TokenBroker(dependencies);
    }

    /** Takes a token for one request of an organisation. */
    async take(organisation: Organisation): Promise<QuotaDecision> {
        const { clock, quota } = this.dependencies;
        quota.recordDemand(organisation);
        if (quota.tryTake(organisation)) {
            return { kind: "within" };
        }
        if (clock.nowMs() >= (this.backoffs.get(organisation.name)?.untilMs ?? 0)) {
            await this.search(organisation);
            if (quota.tryTake(organisation)) {
                return { kind: "within" };
            }
        }
        return { kind: "over", retryAfterMs: this.retryAfterMs(organisation) };
    }

    /** Joins the running search for tokens of an organisation, or starts one. */
    private async search(organisation: Organisation): Promise<void> {
        const { name } = organisation;
        let search = this.searches.get(name);
        if (!search) {
            search = { waiting: 0, end: this.searchHosts(organisation) };
            this.searches.set(name, search);
        }
        search.waiting++;
        await search.end;
    }

    private async searchHosts(organisation: Organisation): Promise<void> {
        const { quota, clock, requestTokens } = this.dependencies;
        const { name } = organisation;
        // Requests that arrive together share the search.
        await Promise.resolve();
        let received = 0;
        let lastHost = "";
        const hosts = this.hostsToSearch(organisation);
        for (const address of hosts) {
            lastHost = address;
            const waiting = this.searches.get(name)?.waiting ?? 1;
            const wanted = quota.wanted(organisation, waiting) - received;
            const granted = await requestTokens(address, name, wanted);
            quota.receive(organisation, granted);
            received += granted;
            if (received >= waiting) {
                break;
            }
        }
        this.searches.delete(name);
        this.setNextHost(organisation, lastHost, received > 0);
        if (received > 0) {
            this.backoffs.delete(name);
        }
        else {
            const previous = this.backoffs.get(name);
            const durationMs = previous ? Math.min(MAXIMUM_BACKOFF_MS, previous.durationMs * 2) : MINIMUM_BACKOFF_MS;
            this.backoffs.set(name, { untilMs: clock.nowMs() + durationMs, durationMs });
        }
    }

    /** Reachable other hosts that generate tokens for an organisation. */
    private reachableTokenHosts(organisation: Organisation): string[] {
        const { quota, localAddress, isReachable } = this.dependencies;
        const { addresses } = quota.holdersOf(organisation);
        return addresses.filter(address => address !== localAddress && isReachable(address));
    }

    private hostsToSearch(organisation: Organisation): string[] {
        const reachable = this.reachableTokenHosts(organisation);
        const start = (this.nextHostIndex.get(organisation.name) ?? Math.floor(this.random() * reachable.length)) %
            Math.max(1, reachable.length);
        return [...reachable.slice(start), ...reachable.slice(0, start)].slice(0, MAXIMUM_HOSTS_PER_SEARCH);
    }

    /** The next search begins with the host that granted tokens last, or after the last host that had none. */
    private setNextHost(organisation: Organisation, lastHost: string, hasGranted: boolean): void {
        const index = this.reachableTokenHosts(organisation).indexOf(lastHost);
        this.nextHostIndex.set(organisation.name, Math.max(0, index + (hasGranted ? 0 : 1)));
    }

    /**
     * Time after which a retry may find a token, spread so that requests refused together are not retried together. If
     * demand far exceeds the tokens, early retries are refused again, so the time grows with the excess of demand.
     */
    private retryAfterMs(organisation: Organisation): number {
        const { quota } = this.dependencies;
        const timeToTokenMs = Math.max(MINIMUM_RETRY_AFTER_MS, quota.timeToNextTokenMs(organisation)) *
            quota.demandRatio(organisation);
        const minimumMs = Math.min(MAXIMUM_RETRY_AFTER_MS, Math.max(MINIMUM_RETRY_AFTER_MS, timeToTokenMs));
        return minimumMs * (1 + this.random());
    }
}
