/**
 * Chooses the hosts that generate the tokens of an organisation.
 *
 * Few hosts hold much each: a token that lies at a host without demand is lost to the callers at all others, so an
 * organisation has only as many holders as its burst fills. All hosts choose the same holders by rendezvous hash.
 */
import { compareScoredNames, scoreName } from "@radishrouter/core";
import type { ScoredName } from "@radishrouter/core";
import type { Organisation } from "../version/mesh-configuration.js";
import type { FleetHost } from "./relay-tree.js";

/** Hosts that generate tokens for an organisation, according to the host list of this node. */
export interface QuotaHolders {
    /** Addresses of the hosts; each generates an equal fraction of the rate. */
    readonly addresses: readonly string[];
    readonly includesLocalHost: boolean;
}

/** Holders of one organisation. */
interface Selection {
    readonly count: number;
    /** Addresses of the holders with their scores, the highest first. */
    readonly best: readonly ScoredName[];
    readonly holders: QuotaHolders;
}

/** Tokens of the burst for which an organisation gets a holder of its own. */
const BURST_PER_HOLDER = 8;

/** Holders of all organisations; follows changes of the host list without ranking all hosts again. */
export class QuotaHolderSelection {
    private readonly selections = new Map<string, Selection>();
    private knownHosts: readonly FleetHost[] = [];

    private constructor(
        private readonly localAddress: string,
        private readonly hosts: () => readonly FleetHost[],
    ) {}

    /** `hosts` returns the same array until the list changes; the list includes the local host. */
    static create(localAddress: string, hosts: () => readonly FleetHost[]): QuotaHolderSelection {
        return new QuotaHolderSelection(localAddress, hosts);
    }

    /** Forgets the holders of organisations that are not among those given. */
    retain(organisations: ReadonlyMap<string, Organisation>): void {
        for (const name of this.selections.keys()) {
            if (!organisations.has(name)) {
                this.selections.delete(name);
            }
        }
    }

    /** Hosts that generate tokens for an organisation. */
    holdersOf(organisation: Organisation): QuotaHolders {
        this.followHosts();
        const count = holderCount(organisation, this.knownHosts.length);
        const selection = this.selections.get(organisation.name);
        if (selection?.count === count) {
            return selection.holders;
        }
        return this.select(organisation.name, count, this.knownHosts.map(toScored(organisation.name))).holders;
    }

    /**
     * Hosts that stand in for the holders, in the order in which they are to be asked: one of each failure domain,
     * because the holders may be out of reach in some domains only.
     */
    reservesOf(organisation: Organisation): readonly string[] {
        const { addresses } = this.holdersOf(organisation);
        const best = new Map<string, ScoredName>();
        for (const host of this.knownHosts) {
            const scored = toScored(organisation.name)(host);
            const other = best.get(host.failureDomain);
            if (!addresses.includes(host.address) && (!other || compareScoredNames(scored, other) < 0)) {
                best.set(host.failureDomain, scored);
            }
        }
        return [...best.values()].sort(compareScoredNames).map(({ name }) => name);
    }

    /** Hosts that would generate tokens for an organisation if the local host were not listed, and now do not. */
    replacedByLocalHost(organisation: Organisation): readonly string[] {
        const { addresses, includesLocalHost } = this.holdersOf(organisation);
        if (!includesLocalHost) {
            return [];
        }
        const others = this.knownHosts.filter(({ address }) => address !== this.localAddress);
        return others.map(toScored(organisation.name))
            .sort(compareScoredNames)
            .slice(0, holderCount(organisation, others.length))
            .map(({ name }) => name)
            .filter(address => !addresses.includes(address));
    }

    private followHosts(): void {
        const hosts = this.hosts();
        if (hosts === this.knownHosts) {
            return;
        }
        const before = new Set(this.knownHosts.map(({ address }) => address));
        const now = new Set(hosts.map(({ address }) => address));
        const added = hosts.filter(({ address }) => !before.has(address));
        this.knownHosts = hosts;
        for (const [name, { count, best }] of this.selections) {
            if (best.every(scored => now.has(scored.name))) {
                this.select(name, count, [...best, ...added.map(toScored(name))]);
            }
            else {
                this.selections.delete(name);
            }
        }
    }

    private select(name: string, count: number, candidates: readonly ScoredName[]): Selection {
        const best = [...candidates].sort(compareScoredNames).slice(0, count);
        const addresses = best.map(scored => scored.name);
        const holders = { addresses, includesLocalHost: addresses.includes(this.localAddress) };
        const selection = { count, best, holders };
        this.selections.set(name, selection);
        return selection;
    }
}

function holderCount({ burst }: Organisation, hosts: number): number {
    return Math.max(1, Math.min(hosts, Math.floor(burst / BURST_PER_HOLDER)));
}

function toScored(organisationName: string): (host: FleetHost) => ScoredName {
    return ({ address }) => scoreName(organisationName, address);
}
