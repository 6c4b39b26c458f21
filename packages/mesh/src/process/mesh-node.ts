/**
 * One node of a mesh: creates its components, and starts and stops its listeners.
 */
import type { Clock } from "@radishrouter/core";
import { BacklogMonitor, SystemClock } from "@radishrouter/core";
import type { Server } from "node:http";
import { applyIdleTimeout, createCallerServer } from "../connection/caller-server.js";
import type { NodeState } from "../connection/link-message.js";
import { listenAt, NodeListeners } from "../connection/node-listeners.js";
import { PeerClient } from "../connection/peer-client.js";
import { PeerServer } from "../connection/peer-server.js";
import { decodeQuarantineNotice } from "../connection/quarantine-notice-decoder.js";
import { ServerClient } from "../connection/server-client.js";
import { StateAnswers } from "../connection/state-answers.js";
import { createMetricsServer, createReadinessServer } from "../connection/status-server.js";
import { RequestAdmission } from "../request/request-admission.js";
import { ConfigurationLease } from "../version/configuration-lease.js";
import { IndexedConfiguration } from "../version/indexed-configuration.js";
import type { MeshConfiguration } from "../version/mesh-configuration.js";
import { PublishedState } from "../version/published-state.js";
import { SharedRoutes } from "../version/shared-routes.js";
import { WeightedRoundRobin } from "../version/weighted-round-robin.js";
import { entryPressureOf } from "./capacity-meter.js";
import { coldRuleOf, createLocalColdServer } from "./cold-server.js";
import type { ColdServer } from "./cold-server.js";
import { CrashingRequests } from "./crashing-requests.js";
import { EvacuatedDomains } from "./evacuated-domains.js";
import { FleetView } from "./fleet-view.js";
import { LifeCycle } from "./life-cycle.js";
import type { LoadBalancer } from "./load-balancer.js";
import { LocalInstance } from "./local-instance.js";
import { LEAVING_USE_FRACTION, LocalServerState } from "./local-server-state.js";
import { LocalServerUpdates } from "./local-server-updates.js";
import { MeshMetrics } from "./mesh-metrics.js";
import type { MeshNodeSettings } from "./mesh-node-settings.js";
import { NodeLimits } from "./node-limits.js";
import { NodeLoadBalancing } from "./node-load-balancing.js";
import { NodeQuota } from "./node-quota.js";
import { NodeRetries } from "./node-retries.js";
import { followListedServers } from "./node-server-changes.js";
import { createOperatorsView } from "./operators-view.js";
import { OrganisationUsageCounters } from "./organisation-usage-counters.js";
import { createOverloadDecisions } from "./overload-decisions.js";
import type { CallPressure, RequestThrottle } from "./overload-signal.js";
import { PeerHealth } from "./peer-health.js";
import { ProcessOverloadGuard } from "./process-overload-guard.js";
import { PublishedItemApplier } from "./published-item-applier.js";
import type { DecodedConfiguration, PublishedItemDecoder, PublishedStateReader } from "./published-state-reader.js";
import { RequestLog } from "./request-log.js";
import { ServerDirectory } from "./server-directory.js";
import { ServerGate } from "./server-gate.js";
import { SlowStart } from "./slow-start.js";
import { StateFollower } from "./state-follower.js";
import { UpdateSourceSelector } from "./update-source-selector.js";

/** Time for which callers and peers still send requests to a node that has announced its stop. */
const STOP_NOTICE_MS = 2_800;
/** Time before the process is killed at which the requests still in flight are given up. */
const STOP_MARGIN_MS = 500;

/** A running node. */
export class MeshNode {
    readonly lease: ConfigurationLease;
    readonly directory: ServerDirectory;
    /** Emits the begin and the end of evacuations. */
    readonly evacuations: EvacuatedDomains;
    readonly log: RequestLog;
    readonly lifeCycle = LifeCycle.create();
    readonly gate: ServerGate;
    private readonly cold: ColdServer;
    private readonly localInstance = LocalInstance.create();
    private readonly localServer: LocalServerState;
    readonly localUpdates: LocalServerUpdates;
    private readonly health: PeerHealth;
    readonly balancer: LoadBalancer;
    private readonly balancing: NodeLoadBalancing;
    private readonly roundRobin = WeightedRoundRobin.create();
    private readonly throttle: RequestThrottle;
    private readonly onwardPressure: CallPressure;
    private readonly overloadGuard: ProcessOverloadGuard;
    private readonly backlog: BacklogMonitor;
    readonly crashing: CrashingRequests;
    readonly quota: NodeQuota;
    private readonly retries: NodeRetries;
    readonly metrics: MeshMetrics;
    readonly usageCounters = OrganisationUsageCounters.create();
    private readonly server: ServerClient;
    private readonly peers: PeerClient;
    private readonly peerServer: PeerServer;
    private readonly state = PublishedState.create();
    private readonly limits: NodeLimits;
    private follower: StateFollower | undefined;
    private readonly fleet: FleetView;
    private readonly sharedRoutes = SharedRoutes.create();
    /** Services that get requests of routes of the local service, besides it. */
    private siblingServices: readonly string[] = [];
    private version: IndexedConfiguration | undefined;
    private callerServer: Server | undefined;
    private readonly listeners = NodeListeners.create();

    private constructor(readonly settings: MeshNodeSettings, private readonly clock: Clock) {
        this.log = RequestLog.create(clock, { host: settings.host, ...settings.log });
        this.limits = NodeLimits.create(clock, settings.listenerLimits);
        this.lease = ConfigurationLease.create(clock, settings.keyLeaseMs);
        this.evacuations = EvacuatedDomains.create({
            clock,
            log: this.log,
            onChange: () => this.localUpdates.applyEvacuations(),
        });
        this.directory = ServerDirectory.create(
            clock,
            settings.drainMs * LEAVING_USE_FRACTION,
            failureDomain => this.evacuations.isEvacuated(failureDomain),
        );
        this.fleet = FleetView.create(
            { address: settings.hostAddress, failureDomain: settings.failureDomain },
            () => this.directory.fleetHosts,
        );
        this.retries = NodeRetries.create({
            clock,
            log: this.log,
            fleet: this.fleet,
            directory: this.directory,
            settings,
            isReachable: address => this.health.isUsable(address),
            ask: (address, service, wanted) => this.peers.requestRetries(address, service, wanted),
        });
        this.overloadGuard = ProcessOverloadGuard.create(clock);
        const slowStart = SlowStart.create({ clock, log: this.log });
        this.gate = ServerGate.create(clock, Math.random, () => this.overloadGuard.lastingLagMs(), slowStart);
        this.gate.onLimitChanged = () => this.balancing.reportLocalLoad();
        this.cold = createLocalColdServer(this, {
            clock,
            gate: this.gate,
            localInstance: this.localInstance,
            tolerance: settings.coldTolerance,
            checkHealth: (path, mayWrite) => this.server.checkHealth(path, mayWrite),
        });
        this.localServer = LocalServerState.create({
            clock,
            gate: this.gate,
            localInstance: this.localInstance,
            log: this.log,
            drainMs: settings.drainMs,
        });
        this.health = PeerHealth.create(clock);
        const { throttle, pressure } = createOverloadDecisions(settings.overloadSignal, clock, this.log);
        this.throttle = throttle;
        this.onwardPressure = pressure;
        this.backlog = BacklogMonitor.create(clock);
        this.balancing = NodeLoadBalancing.create({
            clock,
            log: this.log,
            directory: this.directory,
            gate: this.gate,
            onwardPressure: this.onwardPressure,
            hostAddress: settings.hostAddress,
        });
        this.balancer = this.balancing.balancer;
        this.crashing = this.createCrashingRequests();
        this.metrics = MeshMetrics.create({
            crashes: () => ({ ...this.crashing.counts, suspects: this.crashing.suspectCount }),
            load: () => this.gate.load(),
            excess: () => this.gate.excess(),
            waiting: () => this.gate.waiting(),
            downstreamPressure: () => this.onwardPressure.current(),
            admittedFraction: () => this.throttle.leastAdmittedFraction(),
            serverRatePerSecond: () => this.gate.ratePerSecond,
            coldRatePerSecond: () => this.cold.ratePerSecond,
            configurationVersion: () => this.version?.configuration.version,
            proofAgeMs: () => this.lease.ageMs(),
            knownServers: () => [...this.directory.all()].length,
            retryLoans: () => this.retries.figures(),
            evacuations: () => this.evacuations.list(),
            isLocalServerEvacuated: () => this.gate.closingReason === "evacuated",
            loadBalancing: () => this.balancing.figures(),
            heldBytes: () => this.limits.callerBudget.currentBytes,
        });
        this.server = this.createServerClient();
        this.peers = PeerClient.create({
            clock,
            health: this.health,
            peerPort: settings.peers.port,
            isInFleet: address => this.directory.hasHost(address),
            onState: (address, state, delayMs) => this.applyPeerState(address, state, delayMs),
            distribution: this.balancing.distribution,
            onQuarantine: (address, notice) => this.crashing.receive(decodeQuarantineNotice(notice), address),
            onDoubtful: address => {
                this.log.decision("peer-doubtful", { peer: address });
                this.balancer.doubt(address);
            },
            onLateTokens: (organisation, granted) => this.quota.quota.receiveLate(organisation, granted),
        });
        this.quota = NodeQuota.create({
            clock,
            log: this.log,
            directory: this.directory,
            settings,
            isReachable: address => this.health.isUsable(address),
            requestTokens: (address, request) => this.peers.requestTokens(address, request),
        });
        this.peerServer = this.createPeerServer();
        this.localUpdates = this.createLocalServerUpdates();
    }

    static create(settings: MeshNodeSettings, clock: Clock = SystemClock.create()): MeshNode {
        return new MeshNode(settings, clock);
    }

    /** Active configuration version; undefined without a configuration. */
    get configurationVersion(): number | undefined {
        return this.version?.configuration.version;
    }

    /** Starts all listeners. */
    async start(): Promise<void> {
        const { settings, log } = this;
        log.event("process-started", { process: process.pid, service: settings.service });
        this.crashing.exchange.startWaitingForOthers();
        followListedServers(this);
        this.health.events.on("changed", ({ address, trouble }) => {
            log.event(trouble === undefined ? "peer-regained" : "peer-lost", { peer: address, trouble });
            if (trouble === undefined) {
                this.crashing.exchange.tellRegained(address);
            }
        });
        this.backlog.events.on(
            "noticed",
            ({ of, waitedMs }) => log.decision("process-behind", { of, waitedMs: Math.round(waitedMs) }),
        );
        await listenAt(this.peerServer.listener, settings.peers);
        const readiness = createReadinessServer(
            settings.readiness.path,
            () => this.isReady(),
            this.limits.guardOf("readiness", this),
        );
        await this.listeners.open(readiness, settings.readiness);
        if (settings.metrics) {
            await this.listeners.open(
                createMetricsServer(
                    settings.metrics.path,
                    this.metrics,
                    createOperatorsView(this, () => this.configurationVersion),
                    this.limits.guardOf("metrics", this),
                ),
                settings.metrics,
            );
        }
        this.callerServer = createCallerServer(this.callerServerDependencies());
        await this.listeners.open(this.callerServer, settings.callers);
    }

    /** Follows the published state, which it learns from other nodes or from the platform, until the node stops. */
    async follow(reader: PublishedStateReader, decoder: PublishedItemDecoder): Promise<void> {
        const { clock, state, lease, directory, evacuations, log, peers } = this;
        this.follower = StateFollower.create({
            clock,
            reader,
            applier: PublishedItemApplier.create({
                decoder,
                directory,
                evacuations,
                log,
                activateConfiguration: (decoded, cause) => this.activateConfiguration(decoded, cause),
            }),
            state,
            lease,
            directory,
            log,
            selector: UpdateSourceSelector.create(clock, {
                plan: () => this.fleet.relayPlan,
                isReachable: address => this.health.isUsable(address),
            }),
            askPeer: (address, position, waitMs) => peers.askState(address, position, waitMs),
            activeConfigurationVersion: () => this.configurationVersion,
        });
        await this.follower.run();
    }

    /** Activates a configuration if it is newer than the active one; returns whether it is. */
    private activateConfiguration({ configuration }: DecodedConfiguration, cause: string): boolean {
        const before = this.version?.configuration.version;
        if (before !== undefined && configuration.version <= before) {
            return false;
        }
        this.version = IndexedConfiguration.create(configuration);
        this.updateSiblings(configuration);
        this.quota.setOrganisations(configuration);
        this.cold.setRule(coldRuleOf(configuration, this.settings.service));
        this.roundRobin.retain(new Set(configuration.routes.map(route => route.name)));
        if (this.callerServer) {
            applyIdleTimeout(this.callerServer, configuration.limits.idleTimeoutMs);
        }
        this.log.event("configuration-in-force", { version: configuration.version, before, cause });
        return true;
    }

    private updateSiblings(configuration: MeshConfiguration): void {
        const before = this.siblingServices;
        this.sharedRoutes.apply(configuration);
        this.siblingServices = this.sharedRoutes.siblingsOf(this.settings.service);
        this.crashing.exchange.askSiblings(this.siblingServices.filter(service => !before.includes(service)));
    }

    /**
     * Stops without interrupting requests: announces the stop, serves the requests that still arrive, then closes the
     * listeners and ends when the last request has ended, or shortly before the process is killed.
     */
    async stop(cause: string): Promise<void> {
        const { log, lifeCycle, settings, clock } = this;
        log.event("process-stopping", { cause, open: lifeCycle.open });
        lifeCycle.stop();
        this.peerServer.announceState();
        const limitMs = settings.stopGraceMs - STOP_MARGIN_MS;
        const limit = this.delay(limitMs);
        const stoppedAtMs = clock.nowMs();
        await this.delay(Math.min(STOP_NOTICE_MS, limitMs));
        this.peerServer.listener.close();
        this.listeners.close();
        await Promise.race([limit, lifeCycle.whenIdle()]);
        this.follower?.close();
        this.listeners.closeConnections();
        await Promise.race([limit, this.peerServer.closeLinks()]);
        this.peers.close();
        await this.server.close();
        log.event("process-stopped", { open: lifeCycle.open, tookMs: Math.round(clock.nowMs() - stoppedAtMs) });
        log.flush();
    }

    private isReady(): boolean {
        return this.version !== undefined && this.directory.hasList && !this.lifeCycle.isStopping &&
            this.lease.isValid();
    }

    private createServerClient(): ServerClient {
        const { settings, clock, backlog, gate } = this;
        return ServerClient.create({
            clock,
            backlog,
            gate,
            headerNames: settings.headerNames,
            hostAddress: settings.backendServer.address,
            port: settings.backendServer.port,
            localService: settings.service,
            localInstance: this.localInstance,
            speed: this.balancing.speed,
            onwardPressure: this.onwardPressure,
            crashing: this.crashing,
            cold: this.cold,
            decodeColdMs: settings.decodeColdMs,
            decodeCondition: settings.decodeServerCondition,
            onCondition: (instance, condition) => this.localUpdates.applyCondition(instance, condition),
            isLeaving: instance => this.directory.isLeaving(instance),
        });
    }

    private createLocalServerUpdates(): LocalServerUpdates {
        const { settings, directory, evacuations, gate, cold, localServer, balancing } = this;
        return LocalServerUpdates.create({
            hostAddress: settings.hostAddress,
            failureDomain: settings.failureDomain,
            address: settings.backendServer,
            directory,
            evacuations,
            gate,
            cold,
            localServer,
            balancing,
            recordInstance: start => this.server.recordInstance(start),
            announceState: () => this.peerServer.announceState(),
        });
    }

    private createCrashingRequests(): CrashingRequests {
        const { clock, log, directory, settings } = this;
        return CrashingRequests.create({
            clock,
            log,
            headerNames: settings.headerNames,
            hostAddress: settings.hostAddress,
            service: settings.service,
            siblingServices: () => this.siblingServices,
            hostsOf: service => directory.hostsOf(service),
            allHosts: () => this.fleet.hosts.map(({ address }) => address),
            readyServers: service => directory.readyServers(service),
            send: (address, notice) => this.peers.tell(address, notice),
        });
    }

    private createPeerServer(): PeerServer {
        const { clock, backlog, server, gate, onwardPressure, lifeCycle, log, state, lease } = this;
        const stateAnswers = StateAnswers.create({
            clock,
            state,
            lease,
            sinceOutageMs: () => this.follower?.sinceOutageMs() ?? 0,
            activeConfigurationVersion: () => this.configurationVersion,
        });
        return PeerServer.create({
            clock,
            backlog,
            server,
            gate,
            speed: this.balancing.speed,
            distribution: this.balancing.distribution,
            quota: this.quota.quota,
            lendRetries: (service, wanted, borrower) => this.retries.lend(service, wanted, borrower),
            onwardPressure,
            stateAnswers,
            bodyBudget: this.limits.forwardedBudget,
            limits: this.limits,
            onLimit: limit => this.limits.report("peers", limit, this),
            crashing: this.crashing,
            leavingServer: () => this.localServer.leaving,
            lifeCycle,
            log,
        });
    }

    /** Applies what the node at an address reported of itself and of the backend server on its host. */
    private applyPeerState(address: string, state: NodeState, delayMs: number): void {
        this.balancing.applyPeerReport(address, state, delayMs);
        const service = this.balancer.serviceAt(address);
        if (service !== undefined && this.settings.overloadSignal === "excess") {
            this.throttle.record(service, entryPressureOf(state));
        }
        const { leaving } = state;
        if (leaving && this.directory.find(leaving.instance)?.hostAddress === address) {
            this.directory.recordLeaving(leaving, `reported by the node at ${address}`);
        }
    }

    private callerServerDependencies(): Parameters<typeof createCallerServer>[0] {
        const { clock, backlog, lease, log, metrics, lifeCycle, settings } = this;
        return {
            clock,
            backlog,
            lease,
            admission: RequestAdmission.create({
                lease,
                broker: this.quota.broker,
                overloadGuard: this.overloadGuard,
                throttle: this.throttle,
                roundRobin: this.roundRobin,
                version: () => this.version,
            }),
            log,
            metrics,
            usageCounters: this.usageCounters,
            lifeCycle,
            bodyBudget: this.limits.callerBudget,
            guard: this.limits.guardOf("callers", this),
            version: () => this.version,
            headerNames: settings.headerNames,
            localService: settings.service,
            relay: {
                clock,
                backlog,
                log,
                hostAddress: settings.hostAddress,
                failureDomain: settings.failureDomain,
                directory: this.directory,
                evacuations: this.evacuations,
                balancer: this.balancer,
                health: this.health,
                server: this.server,
                peers: this.peers,
                onwardPressure: this.onwardPressure,
                crashing: this.crashing,
                throttle: this.throttle,
                overloadSignal: settings.overloadSignal,
                retryBudgetOf: service => this.retries.budgetOf(service),
                retryLoans: this.retries.loans,
                localRateShare: () => this.gate.rateShare(),
                isLocalServerDraining: () => this.localServer.isDraining,
            },
        };
    }

    /** Unlike a timer of the clock, this timer keeps the process alive until the orderly stop is complete. */
    private delay(durationMs: number): Promise<void> {
        return new Promise(resolve => setTimeout(resolve, durationMs));
    }
}
