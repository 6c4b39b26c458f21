/**
 * Chooses from which hosts a host learns what is published, so that only one host of the fleet reads the platform while
 * all is well, and no host hands updates on to more than a few others.
 *
 * The hosts of a failure domain form a tree, and so do the roots of these trees. The order is by rendezvous hash: any
 * two hosts see each other in the same order even while their host lists differ, so hosts never follow in a circle.
 */
import { highestScoringNames } from "@radishrouter/core";

/** A host of the fleet. */
export interface FleetHost {
    readonly address: string;
    readonly failureDomain: string;
}

/** Hosts that a host can learn updates from. */
export interface RelayPlan {
    /**
     * Hosts on the path to the root of the fleet, the nearest first, each root followed by the host that takes its place
     * while it is down; empty for the root.
     */
    readonly ancestors: readonly string[];
    /** Other hosts to ask if neither an ancestor nor the platform responds, the preferred first. */
    readonly helpers: readonly string[];
}

/** Hosts that follow the same host, at most. */
const MAXIMUM_FOLLOWERS = 16;
const MAXIMUM_HELPERS = 4;
/** Position, in the order of a tree, of the host that takes the place of the root while it is down. */
const STANDBY_POSITION = 1;
const HASH_KEY = "published-state";

/** Plans where a host of the fleet learns updates; the host itself need not be in the list. */
export function planRelay(localHost: FleetHost, hosts: readonly FleetHost[]): RelayPlan {
    const domains = new Map<string, string[]>();
    for (const { address, failureDomain } of [localHost, ...hosts.filter(isOther(localHost))]) {
        const members = domains.get(failureDomain) ?? [];
        members.push(address);
        domains.set(failureDomain, members);
    }
    const localMembers = inOrder(domains.get(localHost.failureDomain)!);
    const roots = inOrder([...domains.values()].map(members => highestScoringNames(HASH_KEY, members, 1)[0]!));
    const localRoot = localMembers[0]!;
    const ancestors = [...pathToRoot(localHost.address, localMembers), ...pathToRoot(localRoot, roots)];
    const helpers = [...localMembers, ...roots]
        .filter(address => address !== localHost.address && !ancestors.includes(address))
        .slice(0, MAXIMUM_HELPERS);
    return { ancestors, helpers };
}

function isOther(localHost: FleetHost): (host: FleetHost) => boolean {
    return host => host.address !== localHost.address;
}

function inOrder(addresses: readonly string[]): string[] {
    return highestScoringNames(HASH_KEY, addresses, addresses.length);
}

/** The hosts that an address follows in the tree of an ordered list, the nearest first, then the root's standby. */
function pathToRoot(address: string, ordered: readonly string[]): string[] {
    const path: string[] = [];
    let position = ordered.indexOf(address);
    const hasStandby = position > STANDBY_POSITION;
    while (position > 0) {
        position = Math.floor((position - 1) / MAXIMUM_FOLLOWERS);
        path.push(ordered[position]!);
    }
    return hasStandby ? [...new Set([...path, ordered[STANDBY_POSITION]!])] : path;
}
