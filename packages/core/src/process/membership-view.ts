/**
 * Which hosts can receive requests at present.
 */
import type { Host, HostList } from "../version/host-list.js";
import type { AuditTrail } from "./audit-trail.js";
import type { Clock, Timer } from "./clock.js";
import { SystemClock } from "./clock.js";
import type { HostStatus } from "./host-status.js";
import { overrides } from "./host-status.js";

/** Settings and dependencies of a view. */
export interface MembershipViewOptions {
    readonly ownName: string;
    /** Start of this process in ms since 1970. */
    readonly ownIncarnation?: bigint;
    readonly clock?: Clock;
    readonly audit?: AuditTrail;
}

/** Called with each new status and its source. */
export type HostStatusListener = (status: HostStatus, source: string) => void;

/** Time for which a drain signal of a host with unknown incarnation is applied. */
const DRAIN_SIGNAL_EXPIRY_MS = 30_000;

/** Combines the host list of the platform with the statuses that peers report and that this node observed itself. */
export class MembershipView {
    private hosts: ReadonlyMap<string, Host> = new Map();
    /** Revision of the host list; -1 before the first one. */
    private revision = -1;
    private readonly statuses = new Map<string, HostStatus>();
    /** Expiry timers of hosts that reported that they are draining while their incarnation is unknown. */
    private readonly drainSignals = new Map<string, Timer>();
    private readonly unreachableDomains = new Set<string>();
    private readonly domainReachableSinceMs = new Map<string, number>();
    private readonly eligibleSince = new Map<string, number>();
    private readonly livePeersByService = new Map<string, Host[]>();
    private readonly hostsByService = new Map<string, Host[]>();
    private readonly hostsByFailureDomain = new Map<string, Host[]>();
    private readonly listeners = new Set<HostStatusListener>();
    private readonly clock: Clock;
    private changeCounter = 0;

    private constructor(private readonly options: MembershipViewOptions) {
        this.clock = options.clock ?? SystemClock.create();
    }

    static create(options: MembershipViewOptions): MembershipView {
        const view = new MembershipView(options);
        const { ownName, ownIncarnation } = options;
        if (ownIncarnation !== undefined) {
            view.statuses.set(ownName, { host: ownName, incarnation: ownIncarnation, revision: 0, state: "live" });
        }
        return view;
    }

    /** Incremented with each change of what this view returns. */
    get changeCount(): number {
        return this.changeCounter;
    }

    /** Whether a host list of the platform was received. */
    get hasHostList(): boolean {
        return this.revision >= 0;
    }

    /** Stores a host list of the platform unless a later revision is stored. */
    setHostList(list: HostList): void {
        if (list.revision < this.revision) {
            return;
        }
        const previous = this.hosts;
        const isFirst = !this.hasHostList;
        this.revision = list.revision;
        this.hosts = new Map(list.hosts.map(host => [host.name, host]));
        this.hostsByFailureDomain.clear();
        this.hostsByService.clear();
        this.recordChange();
        for (const [name, host] of this.hosts) {
            if (previous.get(name) !== host) {
                this.auditHostListChange(previous.get(name), host, isFirst);
                this.updateEligibility(name, isFirst);
            }
        }
        for (const name of previous.keys()) {
            if (!this.hosts.has(name)) {
                this.audit("host-left", name, `host list ${list.revision}`);
                this.removeHost(name);
            }
        }
    }

    /** Finds a host by name, whatever its state. */
    find(name: string): Host | undefined {
        return this.hosts.get(name);
    }

    /** Hosts other than the local one that may receive new requests. */
    livePeers(): Host[] {
        return [...this.hosts.values()].filter(host => this.isLivePeer(host));
    }

    /** Hosts other than the local one that may receive new requests for a service. */
    livePeersOf(service: string): Host[] {
        let peers = this.livePeersByService.get(service);
        if (!peers) {
            peers = this.hostsOfService(service).filter(host => this.isLivePeer(host));
            this.livePeersByService.set(service, peers);
        }
        return peers;
    }

    /** Hosts of a failure domain in the host list, whatever their state. */
    hostsInFailureDomain(failureDomain: string): readonly Host[] {
        if (this.hostsByFailureDomain.size === 0) {
            groupHosts(this.hostsByFailureDomain, this.hosts.values(), host => host.failureDomain);
        }
        return this.hostsByFailureDomain.get(failureDomain) ?? [];
    }

    /** Failure domains that have hosts in the host list. */
    failureDomains(): string[] {
        this.hostsInFailureDomain("");
        return [...this.hostsByFailureDomain.keys()];
    }

    /** Whether a host is listed and neither draining nor failed, even if its failure domain is unreachable. */
    isEligible(name: string): boolean {
        const state = this.statuses.get(name)?.state ?? "live";
        return this.hosts.get(name)?.state === "live" && state === "live" && !this.drainSignals.has(name);
    }

    /**
     * Time of the process clock since which a host may receive new requests, so that its share can be ramped up; 0 for
     * a host that was eligible in the first host list, undefined for one that is not eligible or not reachable.
     */
    eligibleSinceMs(name: string): number | undefined {
        const host = this.hosts.get(name);
        const sinceMs = this.eligibleSince.get(name);
        if (!host || sinceMs === undefined || this.unreachableDomains.has(host.failureDomain)) {
            return undefined;
        }
        return Math.max(sinceMs, this.domainReachableSinceMs.get(host.failureDomain) ?? 0);
    }

    /** Status of the process on a host; undefined while none is known. */
    statusOf(name: string): HostStatus | undefined {
        return this.statuses.get(name);
    }

    /** Statuses of hosts that must not receive new requests. */
    nonLiveStatuses(): HostStatus[] {
        return [...this.statuses.values()].filter(status => status.state !== "live");
    }

    /** Stores a status if it overrides the stored one; returns whether it did. */
    applyStatus(status: HostStatus, source: string): boolean {
        const current = this.statuses.get(status.host);
        if (current && !overrides(status, current)) {
            return false;
        }
        this.statuses.set(status.host, status);
        if (status.state === "live" && current && status.incarnation > current.incarnation) {
            this.drainSignals.get(status.host)?.cancel();
            this.drainSignals.delete(status.host);
        }
        if (current?.state !== status.state) {
            this.auditStatusChange(status, current, source);
        }
        this.recordChange();
        this.updateEligibility(status.host, false);
        if (current || status.state !== "live") {
            this.listeners.forEach(listener => listener(status, source));
        }
        return true;
    }

    /** Stops new requests to a host that reported itself, or whose responses showed, that it is draining. */
    markDraining(name: string, source: string): void {
        const status = this.statuses.get(name);
        if (status) {
            this.applyStatus({ ...status, state: "leaving" }, source);
            return;
        }
        this.drainSignals.get(name)?.cancel();
        this.drainSignals.set(name, this.clock.setTimer(DRAIN_SIGNAL_EXPIRY_MS, () => this.expireDrainSignal(name)));
        this.audit("host-draining", name, source);
        this.recordChange();
        this.updateEligibility(name, false);
    }

    /** Sets whether a failure domain is reachable; if not, none of its hosts receives new requests. */
    setDomainReachable(failureDomain: string, reachable: boolean): void {
        if (this.unreachableDomains.has(failureDomain) !== reachable) {
            return;
        }
        if (reachable) {
            this.unreachableDomains.delete(failureDomain);
            this.domainReachableSinceMs.set(failureDomain, this.clock.nowMs());
            this.audit("failure-domain-reachable", failureDomain, "watchers");
        }
        else {
            this.unreachableDomains.add(failureDomain);
            this.audit("failure-domain-unreachable", failureDomain, "watchers");
        }
        this.recordChange();
    }

    /** Whether a failure domain is reachable; true unless it was set to be unreachable. */
    isDomainReachable(failureDomain: string): boolean {
        return !this.unreachableDomains.has(failureDomain);
    }

    /** Calls the listener with each new status; returns a function that unsubscribes it. */
    subscribe(listener: HostStatusListener): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    private hostsOfService(service: string): readonly Host[] {
        if (this.hostsByService.size === 0) {
            groupHosts(this.hostsByService, this.hosts.values(), host => host.service);
        }
        return this.hostsByService.get(service) ?? [];
    }

    private isLivePeer(host: Host): boolean {
        return host.name !== this.options.ownName && this.isEligible(host.name) &&
            !this.unreachableDomains.has(host.failureDomain);
    }

    private recordChange(): void {
        this.changeCounter++;
        this.livePeersByService.clear();
    }

    private updateEligibility(name: string, isFirst: boolean): void {
        if (!this.isEligible(name)) {
            this.eligibleSince.delete(name);
        }
        else if (!this.eligibleSince.has(name)) {
            this.eligibleSince.set(name, isFirst ? 0 : this.clock.nowMs());
        }
    }

    private removeHost(name: string): void {
        this.eligibleSince.delete(name);
        if (name !== this.options.ownName) {
            this.statuses.delete(name);
        }
    }

    private expireDrainSignal(name: string): void {
        this.drainSignals.delete(name);
        this.recordChange();
        this.updateEligibility(name, false);
    }

    private auditHostListChange(before: Host | undefined, host: Host, isFirst: boolean): void {
        const cause = `host list ${this.revision}`;
        if (!before && !isFirst) {
            this.audit("host-joined", host.name, cause);
        }
        if (host.state === "leaving" && before?.state !== "leaving") {
            this.audit("host-draining", host.name, cause);
        }
    }

    private auditStatusChange(status: HostStatus, before: HostStatus | undefined, source: string): void {
        switch (status.state) {
            case "live":
                if (before) {
                    this.audit("host-joined", status.host, source);
                }
                return;
            case "failed":
                this.audit("host-failed", status.host, source);
                return;
            case "leaving":
                this.audit("host-draining", status.host, source);
                return;
        }
    }

    private audit(change: Parameters<AuditTrail["record"]>[0], subject: string, cause: string): void {
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
