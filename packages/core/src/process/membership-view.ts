/**
 * Which hosts can be used now.
 */
import type { Host, HostList } from "../version/host-list.js";
import type { AuditTrail } from "./audit-trail.js";
import type { Clock, Timer } from "./clock.js";
import { SystemClock } from "./clock.js";
import type { HostBelief } from "./host-belief.js";
import { overrides } from "./host-belief.js";

/** Settings and parts of a view. */
export interface MembershipViewOptions {
    readonly ownName: string;
    /** Start of this process in ms since 1970. */
    readonly ownIncarnation?: bigint;
    readonly clock?: Clock;
    readonly audit?: AuditTrail;
}

/** Hears of each belief that was replaced. */
export type BeliefListener = (belief: HostBelief, source: string) => void;

const DRAIN_SIGNAL_MS = 30_000;

/** Combines the platform's list with what peers say and what this node saw itself. */
export class MembershipView {
    private hosts: ReadonlyMap<string, Host> = new Map();
    private revision = -1;
    private readonly beliefs = new Map<string, HostBelief>();
    /** Hosts that said that they drain while their incarnation is not known here. */
    private readonly drainSignals = new Map<string, Timer>();
    private readonly unreachableDomains = new Set<string>();
    private readonly domainReturnedAtMs = new Map<string, number>();
    private readonly eligibleSince = new Map<string, number>();
    private readonly byService = new Map<string, Host[]>();
    private readonly listedByService = new Map<string, Host[]>();
    private readonly byFailureDomain = new Map<string, Host[]>();
    private readonly listeners = new Set<BeliefListener>();
    private readonly clock: Clock;
    private version = 0;

    private constructor(private readonly options: MembershipViewOptions) {
        this.clock = options.clock ?? SystemClock.create();
    }

    static create(options: MembershipViewOptions): MembershipView {
        const view = new MembershipView(options);
        const { ownName, ownIncarnation } = options;
        if (ownIncarnation !== undefined) {
            view.beliefs.set(ownName, { host: ownName, incarnation: ownIncarnation, revision: 0, state: "live" });
        }
        return view;
    }

    /** Grows with each change of what this view answers. */
    get changeCount(): number {
        return this.version;
    }

    /** Whether a list of the platform is known. */
    get hasHostList(): boolean {
        return this.revision >= 0;
    }

    /** Takes over a list of the platform unless a later one is known. */
    setHostList(list: HostList): void {
        if (list.revision < this.revision) {
            return;
        }
        const before = this.hosts;
        const isFirst = !this.hasHostList;
        this.revision = list.revision;
        this.hosts = new Map(list.hosts.map(host => [host.name, host]));
        this.byFailureDomain.clear();
        this.listedByService.clear();
        this.changed();
        for (const [name, host] of this.hosts) {
            if (before.get(name) !== host) {
                this.recordListed(before.get(name), host, isFirst);
                this.reassess(name, isFirst);
            }
        }
        for (const name of before.keys()) {
            if (!this.hosts.has(name)) {
                this.record("host-left", name, `host list ${list.revision}`);
                this.forget(name);
            }
        }
    }

    /** Host of a name, also when it is leaving or has failed. */
    find(name: string): Host | undefined {
        return this.hosts.get(name);
    }

    /** Hosts other than this one that may get new work. */
    livePeers(): Host[] {
        return [...this.hosts.values()].filter(host => this.isReachablePeer(host));
    }

    /** Hosts other than this one that may get new work of a service. */
    livePeersOf(service: string): Host[] {
        let peers = this.byService.get(service);
        if (!peers) {
            peers = this.listedOf(service).filter(host => this.isReachablePeer(host));
            this.byService.set(service, peers);
        }
        return peers;
    }

    /** Hosts of a failure domain on the platform's list, whatever their state. */
    hostsInFailureDomain(failureDomain: string): readonly Host[] {
        if (this.byFailureDomain.size === 0) {
            groupHosts(this.byFailureDomain, this.hosts.values(), host => host.failureDomain);
        }
        return this.byFailureDomain.get(failureDomain) ?? [];
    }

    /** Failure domains on the platform's list. */
    failureDomains(): string[] {
        this.hostsInFailureDomain("");
        return [...this.byFailureDomain.keys()];
    }

    /** Whether a host is neither leaving nor failed; says nothing of the way to its failure domain. */
    isEligible(name: string): boolean {
        const state = this.beliefs.get(name)?.state ?? "live";
        return this.hosts.get(name)?.state === "live" && state === "live" && !this.drainSignals.has(name);
    }

    /**
     * Time of the process clock since when a host may get new work, so that its share can be ramped up; 0 for a host that
     * was eligible when this node first learned of any, undefined for one that is not eligible.
     */
    eligibleSinceMs(name: string): number | undefined {
        const host = this.hosts.get(name);
        const sinceMs = this.eligibleSince.get(name);
        if (!host || sinceMs === undefined || this.unreachableDomains.has(host.failureDomain)) {
            return undefined;
        }
        return Math.max(sinceMs, this.domainReturnedAtMs.get(host.failureDomain) ?? 0);
    }

    /** Belief about the process of a host; undefined when nothing was heard of it. */
    beliefOf(name: string): HostBelief | undefined {
        return this.beliefs.get(name);
    }

    /** Beliefs that say that a host must not get work. */
    adverseBeliefs(): HostBelief[] {
        return [...this.beliefs.values()].filter(belief => belief.state !== "live");
    }

    /** Takes over a belief if it overrides the one held; returns whether it did. */
    apply(belief: HostBelief, source: string): boolean {
        const current = this.beliefs.get(belief.host);
        if (current && !overrides(belief, current)) {
            return false;
        }
        this.beliefs.set(belief.host, belief);
        if (belief.state === "live" && current && belief.incarnation > current.incarnation) {
            this.drainSignals.get(belief.host)?.cancel();
            this.drainSignals.delete(belief.host);
        }
        if (current?.state !== belief.state) {
            this.recordBelief(belief, current, source);
        }
        this.changed();
        this.reassess(belief.host, false);
        if (current || belief.state !== "live") {
            this.listeners.forEach(listener => listener(belief, source));
        }
        return true;
    }

    /** Stops new work for a host that said itself, or whose answers showed, that it is draining. */
    markLeaving(name: string, source: string): void {
        const belief = this.beliefs.get(name);
        if (belief) {
            this.apply({ ...belief, state: "leaving" }, source);
            return;
        }
        this.drainSignals.get(name)?.cancel();
        this.drainSignals.set(name, this.clock.setTimer(DRAIN_SIGNAL_MS, () => this.endDrainSignal(name)));
        this.record("host-draining", name, source);
        this.changed();
        this.reassess(name, false);
    }

    /** Sets whether any host of a failure domain can be reached. */
    setReachable(failureDomain: string, reachable: boolean): void {
        if (this.unreachableDomains.has(failureDomain) !== reachable) {
            return;
        }
        if (reachable) {
            this.unreachableDomains.delete(failureDomain);
            this.domainReturnedAtMs.set(failureDomain, this.clock.nowMs());
            this.record("failure-domain-reachable", failureDomain, "watchers");
        }
        else {
            this.unreachableDomains.add(failureDomain);
            this.record("failure-domain-unreachable", failureDomain, "watchers");
        }
        this.changed();
    }

    /** Whether hosts of a failure domain can be reached as far as is known. */
    isReachable(failureDomain: string): boolean {
        return !this.unreachableDomains.has(failureDomain);
    }

    /** Calls the listener for each belief that is replaced; returns a function that stops it. */
    subscribe(listener: BeliefListener): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    private listedOf(service: string): readonly Host[] {
        if (this.listedByService.size === 0) {
            groupHosts(this.listedByService, this.hosts.values(), host => host.service);
        }
        return this.listedByService.get(service) ?? [];
    }

    private isReachablePeer(host: Host): boolean {
        return host.name !== this.options.ownName && this.isEligible(host.name) &&
            !this.unreachableDomains.has(host.failureDomain);
    }

    private changed(): void {
        this.version++;
        this.byService.clear();
    }

    private reassess(name: string, isFirst: boolean): void {
        if (!this.isEligible(name)) {
            this.eligibleSince.delete(name);
        }
        else if (!this.eligibleSince.has(name)) {
            this.eligibleSince.set(name, isFirst ? 0 : this.clock.nowMs());
        }
    }

    private forget(name: string): void {
        this.eligibleSince.delete(name);
        if (name !== this.options.ownName) {
            this.beliefs.delete(name);
        }
    }

    private endDrainSignal(name: string): void {
        this.drainSignals.delete(name);
        this.changed();
        this.reassess(name, false);
    }

    private recordListed(before: Host | undefined, host: Host, isFirst: boolean): void {
        const cause = `host list ${this.revision}`;
        if (!before && !isFirst) {
            this.record("host-joined", host.name, cause);
        }
        if (host.state === "leaving" && before?.state !== "leaving") {
            this.record("host-draining", host.name, cause);
        }
    }

    private recordBelief(belief: HostBelief, before: HostBelief | undefined, source: string): void {
        switch (belief.state) {
            case "live":
                if (before) {
                    this.record("host-joined", belief.host, source);
                }
                return;
            case "failed":
                this.record("host-failed", belief.host, source);
                return;
            case "leaving":
                this.record("host-draining", belief.host, source);
                return;
        }
    }

    private record(change: Parameters<AuditTrail["record"]>[0], subject: string, cause: string): void {
        this.options.audit?.record(change, subject, cause);
    }
}

function groupHosts(groups: Map<string, Host[]>, hosts: Iterable<Host>, keyOf: (host: Host) => string): void {
    for (const host of hosts) {
        const key = keyOf(host);
        const group = groups.get(key);
        if (group) {
            group.push(host);
        }
        else {
            groups.set(key, [host]);
        }
    }
}
