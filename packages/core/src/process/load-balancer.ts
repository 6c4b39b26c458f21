/**
 * Chooses the backend server for a request by what was observed of each.
 */
import type { Host } from "../version/host-list.js";
import type { Clock } from "./clock.js";
import type { LocalLoad } from "./concurrency-limiter.js";
import { ObservedHost } from "./observed-host.js";

/** How a request that was sent to a host ended. */
export type AttemptOutcome =
    /** The host answered, with what it told of its load and of the calls below the request. */
    | { readonly kind: "answered"; readonly load?: LocalLoad; readonly downstreamDepth?: number; }
    /** The host refused the request because it is at capacity. */
    | { readonly kind: "refused"; readonly load?: LocalLoad; }
    /** The connection failed. */
    | { readonly kind: "failed"; }
    /** The sender gave up waiting. */
    | { readonly kind: "abandoned"; };

/** Request that a host has not answered yet. */
export interface PendingAttempt {
    /** Records the end; only the first call counts. */
    end(outcome: AttemptOutcome): void;
    /** Takes the time that follows out of the host's silence, as while the request waits for another service. */
    pause(): void;
    /** Counts silence from now on again. */
    resume(): void;
    /** Whether the host seems to hang: it answered nothing for longer than its latency explains. */
    isHostUnresponsive(): boolean;
}

/** Options of a load balancer. */
export interface LoadBalancerOptions {
    readonly random?: () => number;
    /** Whether the choice is random, as a baseline. */
    readonly chooseRandomly?: boolean;
}

/** Where the sender is, for choosing hosts near it. */
export interface SenderLocation {
    readonly failureDomain: string;
    readonly region: string;
}

/** Chooses between two random candidates by requests in flight, latency, refusals and the load that hosts tell. */
export class LoadBalancer {
    private readonly observed = new Map<string, ObservedHost>();
    private readonly random: () => number;
    private readonly blind: boolean;

    private constructor(private readonly clock: Clock, options: LoadBalancerOptions) {
        this.random = options.random ?? Math.random;
        this.blind = options.chooseRandomly ?? false;
    }

    static create(clock: Clock, options: LoadBalancerOptions = {}): LoadBalancer {
        return new LoadBalancer(clock, options);
    }

    /**
     * Chooses a host among candidates; undefined when there is none.
     *
     * Hosts of the sender's failure domain come first, then those of its region, as long as one of them has room. A
     * host that hangs gets nothing but a probe now and then, for which only requests that may be sent again are used.
     */
    choose(candidates: readonly Host[], sender: SenderLocation, mayProbe: boolean): Host | undefined {
        if (this.blind) {
            return this.pick(candidates);
        }
        const probe = candidates.find(host => this.entry(host.name).isProbeDue());
        if (probe && mayProbe) {
            return probe;
        }
        const responsive = candidates.filter(host => !this.entry(host.name).isUnresponsive());
        const usable = responsive.length > 0 ? responsive : candidates;
        return this.chooseOfTwo(nearestWithRoom(usable, sender, host => this.hasCapacity(host.name)));
    }

    /** Whether a host is known to hang. */
    isUnresponsive(name: string): boolean {
        return !this.blind && this.entry(name).isUnresponsive();
    }

    /** Whether a host that hangs is due for one request that shows whether it still does. */
    isProbeDue(name: string): boolean {
        return this.entry(name).isProbeDue();
    }

    /** Whether a host takes a request without refusing it, as far as is known. */
    hasCapacity(name: string): boolean {
        return this.entry(name).hasCapacity();
    }

    /** Records that a request was sent to a host. */
    start(name: string): PendingAttempt {
        return this.entry(name).start();
    }

    /** Forgets hosts that are no longer listed. */
    retain(names: ReadonlySet<string>): void {
        for (const name of this.observed.keys()) {
            if (!names.has(name)) {
                this.observed.delete(name);
            }
        }
    }

    private chooseOfTwo(candidates: readonly Host[]): Host | undefined {
        const first = this.pick(candidates);
        const second = this.pick(candidates.filter(host => host !== first));
        if (!first || !second) {
            return first;
        }
        return this.entry(first.name).cost() <= this.entry(second.name).cost() ? first : second;
    }

    private pick(candidates: readonly Host[]): Host | undefined {
        return candidates[Math.floor(this.random() * candidates.length)];
    }

    private entry(name: string): ObservedHost {
        let entry = this.observed.get(name);
        if (!entry) {
            entry = ObservedHost.create(this.clock);
            this.observed.set(name, entry);
        }
        return entry;
    }
}

function nearestWithRoom(
    hosts: readonly Host[],
    sender: SenderLocation,
    hasRoom: (host: Host) => boolean,
): readonly Host[] {
    const domain = hosts.filter(host => host.failureDomain === sender.failureDomain);
    const region = hosts.filter(host => host.region === sender.region);
    const withRoom = [domain, region, hosts].find(group => group.some(hasRoom));
    return withRoom ?? (domain.length > 0 ? domain : hosts);
}
