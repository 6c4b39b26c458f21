/**
 * Divides organisations into ranges, and assigns a collector to each range.
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

/** Assigns collectors to ranges by rendezvous hashing over one list of live hosts. */
export class CollectorAssignment {
    private readonly collectors = new Map<string, string | undefined>();

    private constructor(readonly hosts: readonly ShareHost[]) {}

    static create(hosts: readonly ShareHost[]): CollectorAssignment {
        return new CollectorAssignment(hosts);
    }

    /** Returns this assignment if the hosts are the same, otherwise a new one for the given hosts. */
    withHosts(hosts: readonly ShareHost[]): CollectorAssignment {
        const isSame = hosts.length === this.hosts.length &&
            hosts.every((host, index) =>
                host.name === this.hosts[index]!.name && host.failureDomain === this.hosts[index]!.failureDomain
            );
        return isSame ? this : CollectorAssignment.create(hosts);
    }

    /** Names of all failure domains that have a live host. */
    get failureDomains(): string[] {
        return [...new Set(this.hosts.map(host => host.failureDomain))];
    }

    /** Name of the collector of a range in a failure domain; undefined if no host is live there. */
    collectorOf(failureDomain: string, range: number): string | undefined {
        const key = `${range}/${failureDomain}`;
        if (!this.collectors.has(key)) {
            this.collectors.set(key, this.chooseCollector(failureDomain, range));
        }
        return this.collectors.get(key);
    }

    private chooseCollector(failureDomain: string, range: number): string | undefined {
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
