/**
 * Ranges of organisations, and which host collects the shares of a range.
 */
import { createHash } from "node:crypto";

/** Number of ranges into which organisations are divided by hash. */
export const RANGE_COUNT = 16;

/** A host that can collect shares. */
export interface ShareHost {
    readonly name: string;
    readonly failureDomain: string;
}

function hash(text: string): number {
    return createHash("sha1").update(text).digest().readUIntBE(0, 6);
}

/** Range of an organisation. */
export function rangeOf(organisation: string): number {
    return hash(organisation) % RANGE_COUNT;
}

/** Chooses collectors by rendezvous hashing on one list of live hosts. */
export class CollectorChoice {
    private readonly chosen = new Map<string, string | undefined>();

    private constructor(readonly hosts: readonly ShareHost[]) {}

    static create(hosts: readonly ShareHost[]): CollectorChoice {
        return new CollectorChoice(hosts);
    }

    /** This choice if the list is the same, otherwise that of the list. */
    withHosts(hosts: readonly ShareHost[]): CollectorChoice {
        const isSame = hosts.length === this.hosts.length &&
            hosts.every((host, index) =>
                host.name === this.hosts[index]!.name && host.failureDomain === this.hosts[index]!.failureDomain
            );
        return isSame ? this : CollectorChoice.create(hosts);
    }

    /** Names of all failure domains with a live host. */
    get failureDomains(): string[] {
        return [...new Set(this.hosts.map(host => host.failureDomain))];
    }

    /** Name of the host that collects a range in a failure domain; undefined when no host is live there. */
    collectorOf(failureDomain: string, range: number): string | undefined {
        const key = `${range}/${failureDomain}`;
        if (!this.chosen.has(key)) {
            this.chosen.set(key, this.choose(failureDomain, range));
        }
        return this.chosen.get(key);
    }

    private choose(failureDomain: string, range: number): string | undefined {
        let best: { readonly name: string; readonly weight: number; } | undefined;
        for (const { name } of this.hosts.filter(host => host.failureDomain === failureDomain)) {
            const weight = hash(`${range}/${name}`);
            if (!best || weight > best.weight || (weight === best.weight && name > best.name)) {
                best = { name, weight };
            }
        }
        return best?.name;
    }
}
