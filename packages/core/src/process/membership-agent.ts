/**
 * Maintains the membership view: sends heartbeats to a few hosts, has peers probe a host whose heartbeats are missing,
 * and distributes changes of status by gossip.
 */
import { create } from "@bufbuild/protobuf";
import type { Heartbeat, HostUpdates } from "@radishrouter/protocol";
import { HeartbeatSchema, ProbeRequestSchema, ProbeResultSchema } from "@radishrouter/protocol";
import type { ControlTransport, ReceivedMessage } from "../connection/control-transport.js";
import type { Clock, Timer } from "./clock.js";
import { setRepeatingTimer } from "./clock.js";
import { FailureDetector } from "./failure-detector.js";
import { FailureDomainReports } from "./failure-domain-reports.js";
import type { HostStatus } from "./host-status.js";
import { overrides } from "./host-status.js";
import { MembershipGossip, toHostStatus } from "./membership-gossip.js";
import type { MembershipView } from "./membership-view.js";
import type { WatchPlan } from "./watch-plan.js";
import { createWatchPlan } from "./watch-plan.js";

/** Settings and dependencies of an agent. */
export interface MembershipAgentOptions {
    readonly clock: Clock;
    readonly transport: ControlTransport;
    readonly view: MembershipView;
    readonly ownName: string;
    readonly ownFailureDomain: string;
    readonly ownIncarnation: bigint;
    /** Called when the first message of a process on a host arrives. */
    readonly onNewProcess?: (host: string) => void;
    /** Called when a peer reports a later process of the local host. */
    readonly onSuperseded?: (incarnation: bigint) => void;
    readonly random?: () => number;
}

/** Interval of heartbeats to each watched host, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 1_000;

/** Time that peers have to reach a host whose heartbeats are missing before it is declared failed. */
const CONFIRMATION_TIMEOUT_MS = 2_000;
const PROBE_HELPER_COUNT = 3;
const RESEND_INTERVAL_TICKS = 5;
const FAILED_HOST_RETRY_INTERVAL_TICKS = 2;
/** Time between two ticks from which on the local process is taken to have been paused. */
const PAUSE_THRESHOLD_MS = 2_500;
/** Time after its last heartbeat in which a host that watches this one counts as a neighbour. */
const NEIGHBOUR_EXPIRY_MS = 10_000;
/** Number of watchers that have to report a failure domain as unreachable, if there are as many eligible hosts. */
const REQUIRED_DOMAIN_REPORTS = 2;
const RESENT_NON_LIVE_STATUSES = 20;

/** Runs failure detection, indirect probes and gossip on one node. */
export class MembershipAgent {
    private readonly detector: FailureDetector;
    private readonly gossip: MembershipGossip;
    private readonly domainReports: FailureDomainReports;
    private readonly random: () => number;
    /** Time at which each host that has timed out is declared failed unless a peer reaches it before. */
    private readonly confirmationDeadlineMs = new Map<string, number>();
    /** Peers that requested a probe of a host, by the name of that host. */
    private readonly probeRequesters = new Map<string, Set<string>>();
    /** Time of the last heartbeat of each host that watches this node. */
    private readonly lastHeartbeatMs = new Map<string, number>();
    /** Latest incarnation from which a message of each host arrived. */
    private readonly knownIncarnations = new Map<string, bigint>();
    private watchPlan: WatchPlan = { successors: [], domains: [] };
    /** Change count of the view from which the watch plan was made. */
    private planChangeCount = -1;
    private lastTickMs: number;
    private ticks = 0;
    private sequence = 0n;
    private timer: Timer | undefined;
    private readonly unsubscribers: (() => void)[] = [];

    private constructor(private readonly options: MembershipAgentOptions) {
        const { clock, transport } = options;
        this.random = options.random ?? Math.random;
        this.detector = FailureDetector.create({ clock, intervalMs: HEARTBEAT_INTERVAL_MS });
        this.gossip = MembershipGossip.create({ clock, transport, neighbours: () => this.neighbours() });
        this.domainReports = FailureDomainReports.create(clock);
        this.lastTickMs = clock.nowMs();
    }

    static create(options: MembershipAgentOptions): MembershipAgent {
        return new MembershipAgent(options);
    }

    /** Starts sending heartbeats and answering peers. */
    start(): void {
        const { clock, transport, view } = this.options;
        this.lastTickMs = clock.nowMs();
        this.unsubscribers.push(transport.subscribe(received => this.receive(received)));
        this.unsubscribers.push(view.subscribe((status, source) => this.gossip.broadcast(status, source)));
        this.timer = setRepeatingTimer(clock, HEARTBEAT_INTERVAL_MS, () => this.tick());
    }

    /** Stops sending heartbeats and answering peers. */
    stop(): void {
        this.timer?.cancel();
        this.unsubscribers.forEach(unsubscribe => unsubscribe());
    }

    /** Hosts that this node watches or that watch it; their number does not grow with the fleet. */
    neighbours(): string[] {
        this.updateWatchPlan();
        const oldestMs = this.options.clock.nowMs() - NEIGHBOUR_EXPIRY_MS;
        for (const [name, atMs] of this.lastHeartbeatMs) {
            if (atMs < oldestMs) {
                this.lastHeartbeatMs.delete(name);
            }
        }
        return [...new Set([...this.watchedHosts(), ...this.lastHeartbeatMs.keys()])];
    }

    /** A random live host of the fleet, in any failure domain. */
    randomPeer(): string | undefined {
        const peers = this.options.view.livePeers();
        return peers[Math.floor(this.random() * peers.length)]?.name;
    }

    private watchedHosts(): string[] {
        return [...this.watchPlan.successors, ...this.watchPlan.domains.flatMap(domain => domain.targets)];
    }

    private updateWatchPlan(): void {
        const { view } = this.options;
        if (this.planChangeCount !== view.changeCount) {
            this.planChangeCount = view.changeCount;
            this.watchPlan = createWatchPlan(this.options);
            this.detector.setWatchedHosts(new Set(this.watchedHosts()));
        }
    }

    private tick(): void {
        this.resetAfterPause();
        this.updateWatchPlan();
        this.watchedHosts().forEach(host => this.sendHeartbeat(host, false));
        this.watchPlan.successors.forEach(host => this.checkSuccessor(host));
        this.watchPlan.domains.forEach(({ failureDomain, targets }) => this.checkDomain(failureDomain, targets));
        this.updateDomainReachability();
        this.ticks++;
        if (this.ticks % FAILED_HOST_RETRY_INTERVAL_TICKS === 0) {
            this.retryFailedHost();
        }
        if (this.ticks % RESEND_INTERVAL_TICKS === 0) {
            this.resendStatuses();
        }
    }

    /** Discards pending detections after a pause of the local process, which missed the heartbeats of its peers. */
    private resetAfterPause(): void {
        const nowMs = this.options.clock.nowMs();
        if (nowMs - this.lastTickMs > PAUSE_THRESHOLD_MS) {
            this.detector.restartTimeouts();
            this.confirmationDeadlineMs.clear();
            this.domainReports.clear();
        }
        this.lastTickMs = nowMs;
    }

    private checkSuccessor(host: string): void {
        if (!this.detector.hasTimedOut(host)) {
            this.confirmationDeadlineMs.delete(host);
            return;
        }
        const deadlineMs = this.confirmationDeadlineMs.get(host);
        if (deadlineMs === undefined) {
            this.confirmationDeadlineMs.set(host, this.options.clock.nowMs() + CONFIRMATION_TIMEOUT_MS);
            this.requestProbes(host);
        }
        else if (this.options.clock.nowMs() >= deadlineMs) {
            this.confirmationDeadlineMs.delete(host);
            this.declareFailed(host);
        }
    }

    private requestProbes(host: string): void {
        const { view, ownName, ownFailureDomain } = this.options;
        const candidates = view.hostsInFailureDomain(ownFailureDomain).map(candidate => candidate.name)
            .filter(name => name !== host && name !== ownName && view.isEligible(name));
        for (let count = 0; count < PROBE_HELPER_COUNT && candidates.length > 0; count++) {
            const [helper] = candidates.splice(Math.floor(this.random() * candidates.length), 1);
            const value = create(ProbeRequestSchema, { host });
            this.options.transport.send(helper!, { case: "probeRequest", value });
        }
    }

    private declareFailed(host: string): void {
        const status = this.options.view.statusOf(host) ?? { host, incarnation: 0n, revision: 0 };
        this.options.view.applyStatus({ ...status, state: "failed" }, "heartbeats missed and not confirmed by peers");
    }

    private checkDomain(failureDomain: string, targets: readonly string[]): void {
        const reachable = targets.length === 0 || targets.some(host => !this.detector.hasTimedOut(host));
        this.handleReport(failureDomain, this.options.ownName, reachable, this.options.ownName);
    }

    private handleReport(failureDomain: string, watcher: string, reachable: boolean, source: string): void {
        if (!this.domainReports.add(failureDomain, watcher, reachable)) {
            return;
        }
        const { view, ownFailureDomain } = this.options;
        const localNeighbours = this.neighbours().filter(host =>
            host !== source && view.find(host)?.failureDomain === ownFailureDomain
        );
        this.gossip.sendDomainReport({ failureDomain, watcher, reachable }, localNeighbours);
    }

    private updateDomainReachability(): void {
        const { view, ownFailureDomain } = this.options;
        const eligible = view.hostsInFailureDomain(ownFailureDomain).filter(host => view.isEligible(host.name)).length;
        const unreachableDomains = this.domainReports.unreachableDomains(
            Math.min(REQUIRED_DOMAIN_REPORTS, Math.max(1, eligible)),
        );
        for (const failureDomain of view.failureDomains()) {
            view.setDomainReachable(failureDomain, !unreachableDomains.has(failureDomain));
        }
    }

    /** Sends a heartbeat to a failed host, since after a partition both sides consider the other side failed. */
    private retryFailedHost(): void {
        const { view, ownFailureDomain } = this.options;
        const failed = view.hostsInFailureDomain(ownFailureDomain).filter(host =>
            view.statusOf(host.name)?.state === "failed"
        );
        const host = failed[Math.floor(this.random() * failed.length)];
        if (host) {
            this.sendHeartbeat(host.name, false);
            this.gossip.send(host.name, [view.statusOf(host.name)!]);
        }
    }

    private resendStatuses(): void {
        const neighbours = this.neighbours();
        const host = neighbours[Math.floor(this.random() * neighbours.length)];
        if (host !== undefined) {
            this.gossip.resendRecent(host);
            this.gossip.send(
                host,
                sampleStatuses(this.options.view.nonLiveStatuses(), RESENT_NON_LIVE_STATUSES, this.random),
            );
        }
    }

    private sendHeartbeat(host: string, answer: boolean, sequence = ++this.sequence): void {
        this.options.transport.send(host, { case: "heartbeat", value: create(HeartbeatSchema, { sequence, answer }) });
    }

    private receive({ sender, incarnation, message }: ReceivedMessage): void {
        if (!this.recordIncarnation(sender, incarnation)) {
            return;
        }
        switch (message.body.case) {
            case "heartbeat":
                this.handleHeartbeat(sender, message.body.value);
                return;
            case "hostUpdates":
                this.handleUpdates(sender, message.body.value);
                return;
            case "probeRequest":
                this.handleProbeRequest(sender, message.body.value.host);
                return;
            case "probeResult":
                this.detector.recordHeartbeat(message.body.value.host);
                return;
            default:
                return;
        }
    }

    /** Records which process sent a message; returns false if a later process of the same host has replaced it. */
    private recordIncarnation(host: string, incarnation: bigint): boolean {
        const { view } = this.options;
        const status = view.statusOf(host);
        if (status && status.incarnation > incarnation) {
            this.gossip.send(host, [status]);
            return false;
        }
        if (!status || status.incarnation < incarnation) {
            view.applyStatus({ host, incarnation, revision: 0, state: "live" }, `message of process ${incarnation}`);
        }
        if (this.knownIncarnations.get(host) !== incarnation) {
            this.knownIncarnations.set(host, incarnation);
            this.gossip.send(host, view.nonLiveStatuses());
            this.options.onNewProcess?.(host);
        }
        return true;
    }

    private handleHeartbeat(sender: string, heartbeat: Heartbeat): void {
        this.detector.recordHeartbeat(sender);
        const status = this.options.view.statusOf(sender);
        if (status?.state === "failed") {
            this.gossip.send(sender, [status]);
        }
        if (heartbeat.answer) {
            this.sendProbeResults(sender);
            return;
        }
        this.lastHeartbeatMs.set(sender, this.options.clock.nowMs());
        this.sendHeartbeat(sender, true, heartbeat.sequence);
    }

    private handleProbeRequest(sender: string, host: string): void {
        const requesters = this.probeRequesters.get(host) ?? new Set<string>();
        this.probeRequesters.set(host, requesters.add(sender));
        this.sendHeartbeat(host, false);
    }

    private sendProbeResults(host: string): void {
        for (const requester of this.probeRequesters.get(host) ?? []) {
            const value = create(ProbeResultSchema, { host });
            this.options.transport.send(requester, { case: "probeResult", value });
        }
        this.probeRequesters.delete(host);
    }

    private handleUpdates(sender: string, { updates, failureDomains }: HostUpdates): void {
        for (const update of updates) {
            const status = toHostStatus(update);
            if (status?.host === this.options.ownName) {
                this.refute(status.incarnation, status.revision, status.state === "live", sender);
            }
            else if (status && !this.options.view.applyStatus(status, sender)) {
                this.correctSender(status, sender);
            }
        }
        for (const { failureDomain, watcher, reachable } of failureDomains) {
            this.handleReport(failureDomain, watcher, reachable, sender);
        }
    }

    /** Sends a peer the stored status if it overrides the one that the peer sent. */
    private correctSender(status: HostStatus, sender: string): void {
        const stored = this.options.view.statusOf(status.host);
        if (stored && overrides(stored, status)) {
            this.gossip.send(sender, [stored]);
        }
    }

    /** Refutes a non-live status of the local process with a higher revision. */
    private refute(incarnation: bigint, revision: number, isLive: boolean, sender: string): void {
        const { view, ownName, ownIncarnation } = this.options;
        if (incarnation > ownIncarnation) {
            this.options.onSuperseded?.(incarnation);
        }
        if (incarnation !== ownIncarnation || isLive || view.statusOf(ownName)?.state === "leaving") {
            return;
        }
        view.applyStatus(
            { host: ownName, incarnation, revision: revision + 1, state: "live" },
            `contradicts ${sender}`,
        );
        this.gossip.send(sender, [view.statusOf(ownName)!]);
    }
}

function sampleStatuses(statuses: readonly HostStatus[], count: number, random: () => number): HostStatus[] {
    const start = Math.floor(random() * statuses.length);
    return [...statuses.slice(start), ...statuses.slice(0, start)].slice(0, count);
}
