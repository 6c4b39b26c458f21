/**
 * Chooses the backend server for a request from the observed behaviour of each server's host.
 */
import type { Host } from "../version/host-list.js";
import type { Clock } from "./clock.js";
import type { LocalLoad } from "./concurrency-limiter.js";
import { ObservedHost } from "./observed-host.js";

/** Outcome of a request that was sent to a host. */
export type AttemptOutcome =
    /** The host responded, with its reported load and the depth of the request's downstream calls. */
    | { readonly kind: "answered"; readonly load?: LocalLoad; readonly downstreamDepth?: number; }
    /** The host refused the request because it is at capacity. */
    | { readonly kind: "refused"; readonly load?: LocalLoad; }
    /** The connection failed. */
    | { readonly kind: "failed"; }
    /** The sender stopped waiting. */
    | { readonly kind: "abandoned"; };

/** Request to which a host has not yet responded. */
export interface PendingAttempt {
    /** Records the outcome; only the first call counts. */
    end(outcome: AttemptOutcome): void;
    /** Stops counting time without a response, for instance while the request waits for another service. */
    pause(): void;
    /** Starts counting time without a response again, from now. */
    resume(): void;
    /** Whether the host seems unresponsive: it sent no response for longer than its latency explains. */
    isHostUnresponsive(): boolean;
}

/** Options of a load balancer. */
export interface LoadBalancerOptions {
    readonly random?: () => number;
    /** Whether hosts are chosen at random and observations are ignored, as a baseline for comparison. */
    readonly chooseRandomly?: boolean;
}

/** Location of the sender, for choosing hosts near it. */
export interface SenderLocation {
    readonly failureDomain: string;
    readonly region: string;
}

/** Chooses the better of two random candidates by requests in flight, latency, refusals and reported load. */
export class LoadBalancer {
    private readonly observedHosts = new Map<string, ObservedHost>();
    private readonly random: () => number;
    private readonly choosesRandomly: boolean;

    private constructor(private readonly clock: Clock, options: LoadBalancerOptions) {
        this.random = options.random ?? Math.random;
        this.choosesRandomly = options.chooseRandomly ?? false;
    }

    static create(clock: Clock, options: LoadBalancerOptions = {}): LoadBalancer {
        return new LoadBalancer(clock, options);
    }

    /**
     * Chooses a host among candidates; returns undefined when there are none.
     *
     * Prefers hosts of the sender's failure domain, then those of its region, as long as one of them has capacity. An
     * unresponsive host only gets an occasional probe; only requests that may be retried are used as probes. If all
     * candidates are unresponsive, it chooses among all of them.
     */
    choose(candidates: readonly Host[], sender: SenderLocation, mayProbe: boolean): Host | undefined {
        if (this.choosesRandomly) {
            return this.pick(candidates);
        }
        const probe = candidates.find(host => this.observedHost(host.name).isProbeDue());
        if (probe && mayProbe) {
            return probe;
        }
        const responsive = candidates.filter(host => !this.observedHost(host.name).isUnresponsive());
        const usable = responsive.length > 0 ? responsive : candidates;
        return this.chooseBetweenTwo(nearestWithCapacity(usable, sender, host => this.hasCapacity(host.name)));
    }

    /** Whether a host is considered unresponsive. */
    isUnresponsive(name: string): boolean {
        return !this.choosesRandomly && this.observedHost(name).isUnresponsive();
    }

    /** Whether an unresponsive host is due for one request that probes whether it responds again. */
    isProbeDue(name: string): boolean {
        return this.observedHost(name).isProbeDue();
    }

    /** Whether a host is expected to accept a request: it is responsive, did not just refuse and reported no queue. */
    hasCapacity(name: string): boolean {
        return this.observedHost(name).hasCapacity();
    }

    /** Records that a request was sent to a host. */
    start(name: string): PendingAttempt {
        return this.observedHost(name).start();
    }

    /** Removes the observations of hosts that are not in the list. */
    retain(names: ReadonlySet<string>): void {
        for (const name of this.observedHosts.keys()) {
            if (!names.has(name)) {
                this.observedHosts.delete(name);
            }
        }
    }

    private chooseBetweenTwo(candidates: readonly Host[]): Host | undefined {
        const first = this.pick(candidates);
        const second = this.pick(candidates.filter(host => host !== first));
        if (!first || !second) {
            return first;
        }
        return this.observedHost(first.name).cost() <= this.observedHost(second.name).cost() ? first : second;
    }

    private pick(candidates: readonly Host[]): Host | undefined {
        return candidates[Math.floor(this.random() * candidates.length)];
    }

    private observedHost(name: string): ObservedHost {
        let entry = this.observedHosts.get(name);
        if (!entry) {
            entry = ObservedHost.create(this.clock);
            this.observedHosts.set(name, entry);
        }
        return entry;
    }
}

function nearestWithCapacity(
    hosts: readonly Host[],
    sender: SenderLocation,
    hasCapacity: (host: Host) => boolean,
): readonly Host[] {
    const domain = hosts.filter(host => host.failureDomain === sender.failureDomain);
    const region = hosts.filter(host => host.region === sender.region);
    const withCapacity = [domain, region, hosts].find(group => group.some(hasCapacity));
    return withCapacity ?? (domain.length > 0 ? domain : hosts);
}
