/**
 * Which hosts can be used now.
 */
import type { Host, HostList } from "../version/host-list.js";

/** Combines the platform's list with what peers say and what this node saw itself. */
export class MembershipView {
    private hosts: ReadonlyMap<string, Host> = new Map();
    private revision = -1;
    private readonly leaving = new Set<string>();

    private constructor(private readonly ownName: string) {}

    static create(options: { ownName: string; }): MembershipView {
        return new MembershipView(options.ownName);
    }

    /** Takes over a list of the platform unless a later one is known. */
    setPlatformList(list: HostList): void {
        if (list.revision < this.revision) {
            return;
        }
        this.revision = list.revision;
        this.hosts = new Map(list.hosts.map(host => [host.name, host]));
    }

    /** Stops new work for a host that said itself, or whose answers showed, that it is draining. */
    markLeaving(name: string, _source: string): void {
        this.leaving.add(name);
    }

    /** Allows new work for a host whose process was replaced. */
    markReturned(name: string): void {
        this.leaving.delete(name);
    }

    /** Host of a name, also when it is leaving. */
    find(name: string): Host | undefined {
        return this.hosts.get(name);
    }

    /** Hosts other than this one that may get new work. */
    livePeers(): Host[] {
        return [...this.hosts.values()].filter(host =>
            host.state === "live" && host.name !== this.ownName && !this.leaving.has(host.name)
        );
    }

    /** Hosts other than this one that may get new work of a service. */
    livePeersOf(service: string): Host[] {
        return this.livePeers().filter(host => host.service === service);
    }
}
