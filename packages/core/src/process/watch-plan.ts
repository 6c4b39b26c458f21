/**
 * Selects the hosts that a node sends heartbeats to; their number does not grow with the fleet.
 */
import type { MembershipView } from "./membership-view.js";
import { highestScoringNames, rendezvousScore } from "./rendezvous-hash.js";

/** A remote failure domain that a node watches on behalf of its local one, and the hosts that it watches there. */
export interface WatchedDomain {
    readonly failureDomain: string;
    readonly targets: readonly string[];
}

/** Hosts that a node sends heartbeats to. */
export interface WatchPlan {
    /** Hosts of the local failure domain whose failure this node has to detect. */
    readonly successors: readonly string[];
    readonly domains: readonly WatchedDomain[];
}

/** The node that a watch plan is made for, and its view of the fleet. */
export interface WatchPlanOptions {
    readonly view: MembershipView;
    readonly ownName: string;
    readonly ownFailureDomain: string;
}

/** Each host has a successor on each of these rings; together the rings form a random graph of low diameter. */
const RING_COUNT = 3;
const WATCHERS_PER_DOMAIN = 3;
const TARGETS_PER_DOMAIN = 2;

/** Creates the watch plan from the hosts that are eligible in the view. */
export function createWatchPlan(options: WatchPlanOptions): WatchPlan {
    const { view, ownName, ownFailureDomain } = options;
    const eligible = view.hostsInFailureDomain(ownFailureDomain).map(host => host.name).filter(name =>
        view.isEligible(name)
    );
    const successors = new Set<string>();
    for (let ring = 0; ring < RING_COUNT; ring++) {
        const successor = findSuccessor(`ring ${ring}`, eligible, ownName, successors);
        if (successor !== undefined) {
            successors.add(successor);
        }
    }
    const domains = view.failureDomains()
        .filter(domain => domain !== ownFailureDomain && watchersOf(domain, eligible).includes(ownName))
        .map(failureDomain => ({ failureDomain, targets: chooseTargets(view, failureDomain, ownName) }));
    return { successors: [...successors], domains };
}

/** Hosts that watch a remote failure domain on behalf of their local one. */
export function watchersOf(failureDomain: string, eligible: readonly string[]): string[] {
    return highestScoringNames(`watch ${failureDomain}`, eligible, WATCHERS_PER_DOMAIN);
}

/** The host that follows the local one on a ring; successors on other rings are skipped. */
function findSuccessor(
    ring: string,
    names: readonly string[],
    ownName: string,
    excluded: ReadonlySet<string>,
): string | undefined {
    const ownScore = rendezvousScore(ring, ownName);
    let best: { name: string; distance: number; } | undefined;
    for (const name of names) {
        const distance = (rendezvousScore(ring, name) - ownScore) >>> 0;
        if (name !== ownName && !excluded.has(name) && (!best || distance < best.distance)) {
            best = { name, distance };
        }
    }
    return best?.name;
}

function chooseTargets(view: MembershipView, failureDomain: string, ownName: string): string[] {
    const names = view.hostsInFailureDomain(failureDomain).map(host => host.name);
    const eligible = names.filter(name => view.isEligible(name));
    return highestScoringNames(`watched by ${ownName}`, eligible.length > 0 ? eligible : names, TARGETS_PER_DOMAIN);
}
