/**
 * Requests tokens for organisations from other hosts when this host has none left.
 */
import type { Clock } from "@radishrouter/core";
import type { NamedOrganisation, OrganisationQuota, TokenGrant } from "../process/organisation-quota.js";

/** Whether a request is within the rate of its organisation. */
export type QuotaDecision =
    | { readonly kind: "within"; }
    | { readonly kind: "over"; readonly retryAfterMs: number; }
    /** The organisation is not published any more. */
    | { readonly kind: "withdrawn"; };

/** Collaborators and settings of a broker. */
export interface TokenBrokerDependencies {
    readonly clock: Clock;
    readonly quota: OrganisationQuota;
    readonly localAddress: string;
    /** Whether tokens can be requested from a host. */
    readonly isReachable: (address: string) => boolean;
    /**
     * Requests tokens of an organisation from a host, or of its reserve; resolves with undefined if the host gives no
     * answer.
     */
    readonly requestTokens: (address: string, request: TokenRequest) => Promise<TokenGrant | undefined>;
    readonly random?: () => number;
}

/** Tokens that are requested from another host. */
export interface TokenRequest {
    readonly organisation: string;
    readonly wanted: number;
    /** Whether tokens of the reserve are requested, because no holder of the quota can be reached. */
    readonly isReserve: boolean;
    /** Service of which retries are requested, and not tokens of an organisation. */
    readonly retriesOf?: string;
}

/** A running search for tokens of one organisation. */
interface Search {
    /** Requests that wait for the search. */
    waiting: number;
    readonly end: Promise<void>;
}

/** Time after which a holder expects to have a token for a further request. */
interface TokenExpectation {
    readonly waitMs: number;
    readonly heardAtMs: number;
}

/** Time in which no search is started because the last searches found no tokens. */
interface SearchBackoff {
    readonly untilMs: number;
    readonly durationMs: number;
}

/** What the searches for tokens of one organisation have shown. */
interface SearchMemory {
    backoff?: SearchBackoff | undefined;
    /** What the holder that was asked last expected. */
    expectation?: TokenExpectation;
    /** Index, in the list of reachable token hosts, of the host that the next search begins with. */
    nextHostIndex?: number;
}

const MAXIMUM_HOSTS_PER_SEARCH = 4;
/** Searches that one request waits for. */
const MAXIMUM_SEARCHES = 3;
/**
 * After a search that found no tokens, the fleet is assumed to have none for this time. The time doubles with each
 * further search that finds none, up to the maximum.
 */
const MINIMUM_BACKOFF_MS = 150;
const MAXIMUM_BACKOFF_MS = 400;
/** Time for which the expectation of a holder is used. */
const EXPECTATION_LIFETIME_MS = 3_000;
const MINIMUM_RETRY_AFTER_MS = 150;
const MAXIMUM_RETRY_AFTER_MS = 2_000;

/** Decides whether requests are within the rate of their organisation, using tokens that other hosts can spare. */
export class TokenBroker {
    private readonly searches = new Map<string, Search>();
    private readonly memories = new Map<string, SearchMemory>();
    private readonly random: () => number;

    private constructor(private readonly dependencies: TokenBrokerDependencies) {
        this.random = dependencies.random ?? Math.random;
    }

    static create(dependencies: TokenBrokerDependencies): TokenBroker {
        return new TokenBroker(dependencies);
    }

    /** Forgets what was learned about organisations that are not published any more. */
    forgetWithdrawn(): void {
        const { quota } = this.dependencies;
        for (const name of this.memories.keys()) {
            if (!quota.isPublished({ name })) {
                this.memories.delete(name);
            }
        }
    }

    /** Takes a token for one request of an organisation. */
    async take(organisation: NamedOrganisation): Promise<QuotaDecision> {
        const { quota } = this.dependencies;
        quota.recordDemand(organisation);
        if (quota.tryTake(organisation)) {
            return { kind: "within" };
        }
        // A search asks for as many tokens as requests waited when it began; those that join it may need another one.
        for (let count = 0; count < MAXIMUM_SEARCHES && this.maySearch(organisation); count++) {
            await this.search(organisation);
            if (quota.tryTake(organisation)) {
                return { kind: "within" };
            }
        }
        if (!quota.isPublished(organisation)) {
            return { kind: "withdrawn" };
        }
        return { kind: "over", retryAfterMs: this.retryAfterMs(organisation) };
    }

    private maySearch({ name }: NamedOrganisation): boolean {
        const { clock, quota } = this.dependencies;
        return quota.isPublished({ name }) && clock.nowMs() >= (this.memories.get(name)?.backoff?.untilMs ?? 0);
    }

    /** What is known of an organisation; what is written to it is not kept when that is not published any more. */
    private memoryOf(name: string): SearchMemory {
        let memory = this.memories.get(name);
        if (!memory) {
            memory = {};
            if (this.dependencies.quota.isPublished({ name })) {
                this.memories.set(name, memory);
            }
        }
        return memory;
    }

    /** Joins the running search for tokens of an organisation, or starts one. */
    private async search(organisation: NamedOrganisation): Promise<void> {
        const { name } = organisation;
        let search = this.searches.get(name);
        if (!search) {
            search = { waiting: 0, end: this.searchHosts(organisation) };
            this.searches.set(name, search);
        }
        search.waiting++;
        await search.end;
    }

    private async searchHosts(organisation: NamedOrganisation): Promise<void> {
        const { name } = organisation;
        // Requests that arrive together share the search.
        await Promise.resolve();
        const received = await this.askHolders(organisation) ?? await this.askReserves(organisation);
        this.searches.delete(name);
        this.recordSearch(name, received > 0);
    }

    /** Asks holders until enough tokens are granted; returns their number, or undefined if no holder answers. */
    private async askHolders(organisation: NamedOrganisation): Promise<number | undefined> {
        const { quota, clock, requestTokens } = this.dependencies;
        const { name } = organisation;
        const hosts = this.hostsToSearch(organisation);
        let received: number | undefined;
        let lastHost: string | undefined;
        for (const address of hosts) {
            lastHost = address;
            const waiting = this.waitingFor(name);
            const wanted = quota.wanted(organisation, waiting) - (received ?? 0);
            const grant = await requestTokens(address, { organisation: name, wanted, isReserve: false });
            if (!grant || isWithoutTokens(grant)) {
                continue;
            }
            quota.receive(organisation, grant.granted);
            received = (received ?? 0) + grant.granted;
            this.memoryOf(name).expectation = { waitMs: grant.nextTokenInMs, heardAtMs: clock.nowMs() };
            if (received >= waiting) {
                break;
            }
        }
        if (lastHost !== undefined) {
            this.setNextHost(organisation, lastHost, (received ?? 0) > 0);
        }
        return received;
    }

    /** Takes tokens of a reserve, if this host generates none itself and no holder answers. */
    private async askReserves(organisation: NamedOrganisation): Promise<number> {
        const { quota, localAddress, isReachable, requestTokens } = this.dependencies;
        if (quota.holdersOf(organisation).includesLocalHost) {
            return 0;
        }
        const { name } = organisation;
        const address = quota.reservesOf(organisation).find(host => host === localAddress || isReachable(host));
        if (address === undefined) {
            return 0;
        }
        const wanted = Math.max(1, this.waitingFor(name));
        const grant = address === localAddress ?
            quota.grantReserve(name, wanted) :
            await requestTokens(address, { organisation: name, wanted, isReserve: true });
        quota.receive(organisation, grant?.granted ?? 0);
        return grant?.granted ?? 0;
    }

    private waitingFor(name: string): number {
        return this.searches.get(name)?.waiting ?? 1;
    }

    /** After a search that found nothing, none is started for a while. */
    private recordSearch(name: string, hasFound: boolean): void {
        const memory = this.memoryOf(name);
        if (hasFound) {
            memory.backoff = undefined;
            return;
        }
        const previous = memory.backoff;
        const durationMs = previous ? Math.min(MAXIMUM_BACKOFF_MS, previous.durationMs * 2) : MINIMUM_BACKOFF_MS;
        memory.backoff = { untilMs: this.dependencies.clock.nowMs() + durationMs, durationMs };
    }

    /** Reachable other hosts that generate tokens for an organisation. */
    private reachableTokenHosts(organisation: NamedOrganisation): string[] {
        const { quota, localAddress, isReachable } = this.dependencies;
        const { addresses } = quota.holdersOf(organisation);
        return addresses.filter(address => address !== localAddress && isReachable(address));
    }

    private hostsToSearch(organisation: NamedOrganisation): string[] {
        const reachable = this.reachableTokenHosts(organisation);
        const firstIndex = this.memories.get(organisation.name)?.nextHostIndex ??
            Math.floor(this.random() * reachable.length);
        const start = firstIndex % Math.max(1, reachable.length);
        return [...reachable.slice(start), ...reachable.slice(0, start)].slice(0, MAXIMUM_HOSTS_PER_SEARCH);
    }

    /** The next search begins with the host that granted tokens last, or after the last host that had none. */
    private setNextHost(organisation: NamedOrganisation, lastHost: string, hasGranted: boolean): void {
        const index = this.reachableTokenHosts(organisation).indexOf(lastHost);
        this.memoryOf(organisation.name).nextHostIndex = Math.max(0, index + (hasGranted ? 0 : 1));
    }

    /**
     * Time after which a retry may find a token, spread so that requests refused together are not retried together. If
     * demand far exceeds the tokens, early retries are refused again, so the time grows with the excess of demand.
     */
    private retryAfterMs(organisation: NamedOrganisation): number {
        const { quota, clock } = this.dependencies;
        const expectation = this.memories.get(organisation.name)?.expectation;
        // Other callers take the tokens that come meanwhile, so the wait does not shrink as time passes.
        const isRecent = expectation && clock.nowMs() - expectation.heardAtMs < EXPECTATION_LIFETIME_MS;
        const atHoldersMs = isRecent ? expectation.waitMs * this.emptySearchFactor(organisation.name) : Infinity;
        const waitMs = Math.min(quota.expectedWaitMs(organisation), atHoldersMs);
        const minimumMs = Math.min(MAXIMUM_RETRY_AFTER_MS, Math.max(MINIMUM_RETRY_AFTER_MS, waitMs));
        return minimumMs * (1 + this.random());
    }

    /** Grows with each search in a row that found nothing, as holders do not hear of requests that are not searched for. */
    private emptySearchFactor(name: string): number {
        return (this.memories.get(name)?.backoff?.durationMs ?? MINIMUM_BACKOFF_MS) / MINIMUM_BACKOFF_MS;
    }
}

/** Whether a host neither has tokens nor generates any, so that it counts as one that gives no answer. */
function isWithoutTokens({ granted, isGenerating }: TokenGrant): boolean {
    return granted === 0 && isGenerating === false;
}
