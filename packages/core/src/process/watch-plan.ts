/**
 * Which hosts a node sends heartbeats to; the number does not grow with the fleet.
 */
import type { MembershipView } from "./membership-view.js";
import { highestScoringNames, rendezvousScore } from "./rendezvous-hash.js";

/** A failure domain that a node watches for its own, and the hosts by which it does so. */
export interface WatchedDomain {
    readonly failureDomain: string;
    readonly targets: readonly string[];
}

/** Hosts that a node sends heartbeats to. */
export interface WatchPlan {
    /** Hosts of the own failure domain whose failure this node has to notice. */
    readonly successors: readonly string[];
    readonly domains: readonly WatchedDomain[];
}

/** Who plans. */
export interface WatchPlanOptions {
    readonly view: MembershipView;
    readonly ownName: string;
    readonly ownFailureDomain: string;
}

/** Each host has a successor in this number of rings; the rings together are a random graph of low diameter. */
const RINGS = 3;
const WATCHERS_PER_DOMAIN = 3;
const TARGETS_PER_DOMAIN = 2;

/** Plans from the hosts that this node believes to be eligible. */
export function createWatchPlan(options: WatchPlanOptions): WatchPlan {
    const { view, ownName, ownFailureDomain } = options;
    const eligible = view.hostsInFailureDomain(ownFailureDomain).map(host => host.name).filter(name =>
        view.isEligible(name)
    );
    const successors = new Set<string>();
    for (let ring = 0; ring < RINGS; ring++) {
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

/** Hosts that watch another failure domain for their own. */
export function watchersOf(failureDomain: string, eligible: readonly string[]): string[] {
    return highestScoringNames(`watch ${failureDomain}`, eligible, WATCHERS_PER_DOMAIN);
}

/** The host after a name on a ring; one that is a successor on another ring already is skipped. */
function findSuccessor(
    ring: string,
    names: readonly string[],
    ownName: string,
    taken: ReadonlySet<string>,
): string | undefined {
    const own = rendezvousScore(ring, ownName);
    let best: { name: string; distance: number; } | undefined;
    for (const name of names) {
        const distance = (rendezvousScore(ring, name) - own) >>> 0;
        if (name !== ownName && !taken.has(name) && (!best || distance < best.distance)) {
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
