/**
 * Keeps the membership view true: sends heartbeats to a few hosts, has others confirm a silence, and spreads the news.
 */
import { create } from "@bufbuild/protobuf";
import type { Heartbeat, HostUpdates } from "@radishrouter/protocol";
import { HeartbeatSchema, ProbeRequestSchema, ProbeResultSchema } from "@radishrouter/protocol";
import type { ControlTransport, ReceivedMessage } from "../connection/control-transport.js";
import type { Clock, Timer } from "./clock.js";
import { setRepeatingTimer } from "./clock.js";
import { FailureDetector } from "./failure-detector.js";
import { FailureDomainReports } from "./failure-domain-reports.js";
import type { HostBelief } from "./host-belief.js";
import { overrides } from "./host-belief.js";
import { MembershipGossip, toBelief } from "./membership-gossip.js";
import type { MembershipView } from "./membership-view.js";
import type { WatchPlan } from "./watch-plan.js";
import { createWatchPlan } from "./watch-plan.js";

/** Parts of an agent. */
export interface MembershipAgentOptions {
    readonly clock: Clock;
    readonly transport: ControlTransport;
    readonly view: MembershipView;
    readonly ownName: string;
    readonly ownFailureDomain: string;
    readonly ownIncarnation: bigint;
    /** Called when the first message of a process arrives. */
    readonly onNewProcess?: (host: string) => void;
    /** Called when peers know a later process of this host. */
    readonly onSuperseded?: (incarnation: bigint) => void;
    readonly random?: () => number;
}

/** Interval of heartbeats to each watched host, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 1_000;

const CONFIRM_MS = 2_000;
const PROBE_HELPERS = 3;
const REPEAT_EVERY_TICKS = 5;
const RETRY_FAILED_EVERY_TICKS = 2;
const PAUSE_MS = 2_500;
const HEARD_RECENTLY_MS = 10_000;
const DOMAIN_REPORTS_NEEDED = 2;
const REPEATED_BELIEFS = 20;

/** Runs the failure detector, indirect probes and gossip of one node. */
export class MembershipAgent {
    private readonly detector: FailureDetector;
    private readonly gossip: MembershipGossip;
    private readonly reports: FailureDomainReports;
    private readonly random: () => number;
    /** Time until which a silent host can still be confirmed by others. */
    private readonly confirmingUntilMs = new Map<string, number>();
    /** Peers that asked this node to probe a host. */
    private readonly probesFor = new Map<string, Set<string>>();
    /** Time at which each host that talks to this node was last heard. */
    private readonly heardAtMs = new Map<string, number>();
    private readonly processes = new Map<string, bigint>();
    private plan: WatchPlan = { successors: [], domains: [] };
    private plannedAtChange = -1;
    private lastTickMs: number;
    private ticks = 0;
    private sequence = 0n;
    private timer: Timer | undefined;
    private readonly endings: (() => void)[] = [];

    private constructor(private readonly options: MembershipAgentOptions) {
        const { clock, transport } = options;
        this.random = options.random ?? Math.random;
        this.detector = FailureDetector.create({ clock, intervalMs: HEARTBEAT_INTERVAL_MS });
        this.gossip = MembershipGossip.create({ clock, transport, neighbours: () => this.neighbours() });
        this.reports = FailureDomainReports.create(clock);
        this.lastTickMs = clock.nowMs();
    }

    static create(options: MembershipAgentOptions): MembershipAgent {
        return new MembershipAgent(options);
    }

    /** Starts sending heartbeats and answering peers. */
    start(): void {
        const { clock, transport, view } = this.options;
        this.lastTickMs = clock.nowMs();
        this.endings.push(transport.subscribe(received => this.receive(received)));
        this.endings.push(view.subscribe((belief, source) => this.gossip.spread(belief, source)));
        this.timer = setRepeatingTimer(clock, HEARTBEAT_INTERVAL_MS, () => this.tick());
    }

    /** Stops. */
    stop(): void {
        this.timer?.cancel();
        this.endings.forEach(end => end());
    }

    /** Hosts that this node watches or that watch it; bounded whatever the size of the fleet. */
    neighbours(): string[] {
        this.replan();
        const oldestMs = this.options.clock.nowMs() - HEARD_RECENTLY_MS;
        for (const [name, atMs] of this.heardAtMs) {
            if (atMs < oldestMs) {
                this.heardAtMs.delete(name);
            }
        }
        return [...new Set([...this.watched(), ...this.heardAtMs.keys()])];
    }

    /** A host of the fleet that may be alive, whatever its failure domain. */
    randomPeer(): string | undefined {
        const peers = this.options.view.livePeers();
        return peers[Math.floor(this.random() * peers.length)]?.name;
    }

    private watched(): string[] {
        return [...this.plan.successors, ...this.plan.domains.flatMap(domain => domain.targets)];
    }

    private replan(): void {
        const { view } = this.options;
        if (this.plannedAtChange !== view.changeCount) {
            this.plannedAtChange = view.changeCount;
            this.plan = createWatchPlan(this.options);
            this.detector.watch(new Set(this.watched()));
        }
    }

    private tick(): void {
        this.distrustAfterPause();
        this.replan();
        this.watched().forEach(host => this.sendHeartbeat(host, false));
        this.plan.successors.forEach(host => this.checkSuccessor(host));
        this.plan.domains.forEach(({ failureDomain, targets }) => this.checkDomain(failureDomain, targets));
        this.applyReports();
        this.ticks++;
        if (this.ticks % RETRY_FAILED_EVERY_TICKS === 0) {
            this.retryFailedHost();
        }
        if (this.ticks % REPEAT_EVERY_TICKS === 0) {
            this.repeatNews();
        }
    }

    /** After a pause of this process its peers' silence says nothing. */
    private distrustAfterPause(): void {
        const nowMs = this.options.clock.nowMs();
        if (nowMs - this.lastTickMs > PAUSE_MS) {
            this.detector.forgive();
            this.confirmingUntilMs.clear();
            this.reports.clear();
        }
        this.lastTickMs = nowMs;
    }

    private checkSuccessor(host: string): void {
        if (!this.detector.isOverdue(host)) {
            this.confirmingUntilMs.delete(host);
            return;
        }
        const untilMs = this.confirmingUntilMs.get(host);
        if (untilMs === undefined) {
            this.confirmingUntilMs.set(host, this.options.clock.nowMs() + CONFIRM_MS);
            this.askHelpers(host);
        }
        else if (this.options.clock.nowMs() >= untilMs) {
            this.confirmingUntilMs.delete(host);
            this.declareFailed(host);
        }
    }

    private askHelpers(host: string): void {
        const { view, ownName, ownFailureDomain } = this.options;
        const candidates = view.hostsInFailureDomain(ownFailureDomain).map(candidate => candidate.name)
            .filter(name => name !== host && name !== ownName && view.isEligible(name));
        for (let count = 0; count < PROBE_HELPERS && candidates.length > 0; count++) {
            const [helper] = candidates.splice(Math.floor(this.random() * candidates.length), 1);
            const value = create(ProbeRequestSchema, { host });
            this.options.transport.send(helper!, { case: "probeRequest", value });
        }
    }

    private declareFailed(host: string): void {
        const belief = this.options.view.beliefOf(host) ?? { host, incarnation: 0n, revision: 0 };
        this.options.view.apply({ ...belief, state: "failed" }, "heartbeats missed and not confirmed by peers");
    }

    private checkDomain(failureDomain: string, targets: readonly string[]): void {
        const reachable = targets.length === 0 || targets.some(host => !this.detector.isOverdue(host));
        this.handleReport(failureDomain, this.options.ownName, reachable, this.options.ownName);
    }

    private handleReport(failureDomain: string, watcher: string, reachable: boolean, source: string): void {
        if (!this.reports.add(failureDomain, watcher, reachable)) {
            return;
        }
        const { view, ownFailureDomain } = this.options;
        const inside = this.neighbours().filter(host =>
            host !== source && view.find(host)?.failureDomain === ownFailureDomain
        );
        this.gossip.spreadReport({ failureDomain, watcher, reachable }, inside);
    }

    private applyReports(): void {
        const { view, ownFailureDomain } = this.options;
        const eligible = view.hostsInFailureDomain(ownFailureDomain).filter(host => view.isEligible(host.name)).length;
        const unreachable = this.reports.unreachable(Math.min(DOMAIN_REPORTS_NEEDED, Math.max(1, eligible)));
        for (const failureDomain of view.failureDomains()) {
            view.setReachable(failureDomain, !unreachable.has(failureDomain));
        }
    }

    /** Tries a host that is held failed again, since both sides of a former partition hold the other failed. */
    private retryFailedHost(): void {
        const { view, ownFailureDomain } = this.options;
        const failed = view.hostsInFailureDomain(ownFailureDomain).filter(host =>
            view.beliefOf(host.name)?.state === "failed"
        );
        const host = failed[Math.floor(this.random() * failed.length)];
        if (host) {
            this.sendHeartbeat(host.name, false);
            this.gossip.tell(host.name, [view.beliefOf(host.name)!]);
        }
    }

    private repeatNews(): void {
        const neighbours = this.neighbours();
        const host = neighbours[Math.floor(this.random() * neighbours.length)];
        if (host !== undefined) {
            this.gossip.repeatTo(host);
            this.gossip.tell(host, sample(this.options.view.adverseBeliefs(), REPEATED_BELIEFS, this.random));
        }
    }

    private sendHeartbeat(host: string, answer: boolean, sequence = ++this.sequence): void {
        this.options.transport.send(host, { case: "heartbeat", value: create(HeartbeatSchema, { sequence, answer }) });
    }

    private receive({ sender, incarnation, message }: ReceivedMessage): void {
        if (!this.noteProcess(sender, incarnation)) {
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
                this.detector.arrived(message.body.value.host);
                return;
            default:
                return;
        }
    }

    /** Direct evidence of a process; returns false for one that a later process of the same host has replaced. */
    private noteProcess(host: string, incarnation: bigint): boolean {
        const { view } = this.options;
        const belief = view.beliefOf(host);
        if (belief && belief.incarnation > incarnation) {
            this.gossip.tell(host, [belief]);
            return false;
        }
        if (!belief || belief.incarnation < incarnation) {
            view.apply({ host, incarnation, revision: 0, state: "live" }, `message of process ${incarnation}`);
        }
        if (this.processes.get(host) !== incarnation) {
            this.processes.set(host, incarnation);
            this.gossip.tell(host, view.adverseBeliefs());
            this.options.onNewProcess?.(host);
        }
        return true;
    }

    private handleHeartbeat(sender: string, heartbeat: Heartbeat): void {
        this.detector.arrived(sender);
        const belief = this.options.view.beliefOf(sender);
        if (belief?.state === "failed") {
            this.gossip.tell(sender, [belief]);
        }
        if (heartbeat.answer) {
            this.answerProbes(sender);
            return;
        }
        this.heardAtMs.set(sender, this.options.clock.nowMs());
        this.sendHeartbeat(sender, true, heartbeat.sequence);
    }

    private handleProbeRequest(sender: string, host: string): void {
        const waiting = this.probesFor.get(host) ?? new Set<string>();
        this.probesFor.set(host, waiting.add(sender));
        this.sendHeartbeat(host, false);
    }

    private answerProbes(host: string): void {
        for (const asker of this.probesFor.get(host) ?? []) {
            const value = create(ProbeResultSchema, { host });
            this.options.transport.send(asker, { case: "probeResult", value });
        }
        this.probesFor.delete(host);
    }

    private handleUpdates(sender: string, { updates, failureDomains }: HostUpdates): void {
        for (const update of updates) {
            const belief = toBelief(update);
            if (belief?.host === this.options.ownName) {
                this.contradict(belief.incarnation, belief.revision, belief.state === "live", sender);
            }
            else if (belief && !this.options.view.apply(belief, sender)) {
                this.correct(belief, sender);
            }
        }
        for (const { failureDomain, watcher, reachable } of failureDomains) {
            this.handleReport(failureDomain, watcher, reachable, sender);
        }
    }

    /** Tells a peer the belief that overrides the one it sent. */
    private correct(belief: HostBelief, sender: string): void {
        const held = this.options.view.beliefOf(belief.host);
        if (held && overrides(held, belief)) {
            this.gossip.tell(sender, [held]);
        }
    }

    /** Answers a false belief about this process with a later revision. */
    private contradict(incarnation: bigint, revision: number, isLive: boolean, sender: string): void {
        const { view, ownName, ownIncarnation } = this.options;
        if (incarnation > ownIncarnation) {
            this.options.onSuperseded?.(incarnation);
        }
        if (incarnation !== ownIncarnation || isLive || view.beliefOf(ownName)?.state === "leaving") {
            return;
        }
        view.apply({ host: ownName, incarnation, revision: revision + 1, state: "live" }, `contradicts ${sender}`);
        this.gossip.tell(sender, [view.beliefOf(ownName)!]);
    }
}

function sample(beliefs: readonly HostBelief[], count: number, random: () => number): HostBelief[] {
    const start = Math.floor(random() * beliefs.length);
    return [...beliefs.slice(start), ...beliefs.slice(0, start)].slice(0, count);
}
