/**
 * One node: its parts, its listeners, and how it starts and stops.
 */
import {
    AuditTrail,
    ConcurrencyLimiter,
    EntryAdmission,
    IdempotencyTable,
    LoadBalancer,
    OutcomeLedger,
    SeatAuthority,
    SeatDirectory,
    SystemClock,
} from "@radishrouter/core";
import type {
    Clock,
    ConfigurationVersion,
    HostList,
    MembershipView,
    NodeStatus,
    RateLimiter,
} from "@radishrouter/core";
import type { Server } from "node:http";
import type { Http2Server } from "node:http2";
import { createBackendServer } from "../connection/backend-listener.js";
import { createCallerServer } from "../connection/caller-listener.js";
import type { ControlChannels } from "../connection/control-channels.js";
import { createForwardServer } from "../connection/forward-listener.js";
import { closeGracefully, listen } from "../connection/http-server.js";
import { createOperatorsServer } from "../connection/operators-listener.js";
import type { ConfigurationStore } from "../version/configuration-store.js";
import { BackendRunner } from "./backend-runner.js";
import { BackendSilence } from "./backend-silence.js";
import { DeploymentProof } from "./deployment-proof.js";
import { FleetState } from "./fleet-state.js";
import { HandleTable } from "./handle-table.js";
import { KeyedDispatcher } from "./keyed-dispatcher.js";
import { collectMetrics, MetricsSender } from "./metrics.js";
import type { MetricsSources } from "./metrics.js";
import { createRateLimiter } from "./node-rate-limiter.js";
import { OpenRequests } from "./open-requests.js";
import { PeerForwarder } from "./peer-forwarder.js";
import { isInForce } from "./policy.js";
import type { PolicyName } from "./policy.js";
import { RequestDispatcher } from "./request-dispatcher.js";
import { ServerConnections } from "./server-connections.js";
import type { Settings } from "./settings.js";

/** Time for the last control messages to go out at a planned stop. */
const CONTROL_FLUSH_MS = 150;
const SLOTS_WITHOUT_CONFIGURATION = 1;
const CONNECTIONS_WITHOUT_CONFIGURATION = 1;
const WEIGHT_WITHOUT_RATE = 1;

/** The coordination parts of a node, which live as long as its process. */
interface NodeParts {
    readonly clock: Clock;
    readonly audit: AuditTrail;
    readonly ledger: OutcomeLedger;
    readonly store: ConfigurationStore;
    readonly membership: MembershipView;
    readonly rateLimiter: RateLimiter;
    readonly limiter: ConcurrencyLimiter;
    readonly connections: ServerConnections;
    readonly entryAdmission: EntryAdmission | undefined;
    readonly fleetState: FleetState;
    readonly channels: ControlChannels;
    readonly forwarder: PeerForwarder;
    readonly dispatcher: KeyedDispatcher;
    readonly seats: SeatDirectory;
    readonly authority: SeatAuthority;
    readonly runner: BackendRunner;
    readonly handles: HandleTable;
    readonly proof: DeploymentProof;
    readonly openRequests: OpenRequests;
}

/** A running node. */
export class Node {
    private readonly startedAt = new Date();
    private readonly servers: Server[] = [];
    private controlServer: Http2Server | undefined;
    private stopping = false;
    private metricsSender: MetricsSender | undefined;

    private constructor(private readonly settings: Settings, private readonly parts: NodeParts) {}

    static create(settings: Settings): Node {
        return new Node(settings, createParts(settings));
    }

    /** Audit trail, for writing it to a log. */
    get audit(): AuditTrail {
        return this.parts.audit;
    }

    /** Starts all listeners and watches; resolves when callers can connect. */
    async start(): Promise<void> {
        const { audit, store, fleetState } = this.parts;
        audit.record("process-started", this.settings.host, `process ${process.pid}`);
        store.events.on("inForce", version => this.applyConfiguration(version));
        await this.startListeners();
        fleetState.start();
        this.metricsSender = MetricsSender.create(this.parts.clock, this.settings, this.metricsSources());
    }

    /** Refuses new work, lets running requests end, and closes everything. */
    async stop(): Promise<void> {
        this.stopping = true;
        this.parts.audit.record("process-stopping", this.settings.host, "stop requested");
        this.parts.rateLimiter.close();
        const flushed = new Promise(resolve => setTimeout(resolve, CONTROL_FLUSH_MS));
        const closed = Promise.all([flushed, ...this.servers.map(closeGracefully)]);
        const limit = setTimeout(
            () => this.servers.forEach(server => server.closeAllConnections()),
            this.settings.limits.shutdownMs,
        );
        await closed;
        clearTimeout(limit);
        this.parts.authority.close();
        this.controlServer?.close();
        await this.parts.fleetState.stop();
        await this.metricsSender?.close();
        await this.parts.forwarder.close();
    }

    /** What the node says of itself. */
    status(): NodeStatus {
        const { host, service, failureDomain } = this.settings;
        return {
            host,
            service,
            failureDomain,
            startedAt: this.startedAt.toISOString(),
            state: this.stopping ? "stopping" : "running",
            configurationVersion: this.parts.store.current?.configuration.version,
            livePeers: this.parts.membership.livePeers().map(peer => peer.name),
            rateReadyInMs: Math.min(Number.MAX_SAFE_INTEGER, this.parts.rateLimiter.readyInMs()),
            load: this.parts.limiter.load(),
        };
    }

    private metricsSources(): MetricsSources {
        const { ledger, limiter, membership, store } = this.parts;
        return {
            ledger,
            load: () => limiter.load(),
            livePeers: () => membership.livePeers().length,
            configurationVersion: () => store.current?.configuration.version,
        };
    }

    private async startListeners(): Promise<void> {
        const { address, loopbackAddress, ports } = this.settings;
        const isStopping = () => this.stopping;
        const version = () => this.parts.store.current;
        const load = () => this.parts.limiter.load();
        const shared = { ...this.parts, limits: this.settings.limits, isStopping, version, load };
        this.controlServer = this.parts.channels.createServer();
        this.controlServer.listen(ports.control, address);
        await this.open(createForwardServer({ ...shared, ownService: this.settings.service }), ports.forward, address);
        const sharesDeadline = isInForce(this.settings.policy, "shared-deadline");
        await this.open(createBackendServer({ ...shared, sharesDeadline }), ports.backend, loopbackAddress);
        const metrics = () => collectMetrics(this.metricsSources());
        const operators = createOperatorsServer({ ...shared, status: () => this.status(), metrics });
        await this.open(operators, ports.operators, loopbackAddress);
        await this.open(createCallerServer(shared), ports.callers, address);
    }

    private async open(server: Server, port: number, address: string): Promise<void> {
        await listen(server, port, address);
        this.servers.push(server);
    }

    private applyConfiguration(version: ConfigurationVersion): void {
        this.parts.rateLimiter.setConfiguration(version);
        this.parts.openRequests.endWithdrawn(version);
        const service = version.configuration.services[this.settings.service];
        if (service) {
            this.parts.limiter.setSlots(service.slots);
            this.parts.connections.setConnections(service.connections);
        }
        const { organisations } = version.configuration;
        this.parts.limiter.setWeights(name => organisations[name]?.rate ?? WEIGHT_WITHOUT_RATE);
    }
}

function createParts(settings: Settings): NodeParts {
    const clock = SystemClock.create();
    const audit = AuditTrail.create();
    const inForce = (name: PolicyName) => isInForce(settings.policy, name);
    const limiter = ConcurrencyLimiter.create(clock, {
        slots: SLOTS_WITHOUT_CONFIGURATION,
        adaptive: inForce("adaptive-limit"),
        fair: inForce("fair-queue"),
        unlimited: !inForce("concurrency-limit"),
    });
    const handles = HandleTable.create();
    const proof = DeploymentProof.create(settings.deploymentSecret);
    const incarnation = BigInt(Date.now());
    const identity = { ownName: settings.host, ownAddress: settings.address };
    const seats = SeatDirectory.create();
    const onHostList = (list: HostList) => seats.setPlatformList(list);
    const fleetState = FleetState.create({ clock, audit, proof, settings, incarnation, onHostList });
    const { membership, store, channels } = fleetState;
    const forwarder = PeerForwarder.create({ clock, proof, ...identity });
    const connections = ServerConnections.create({
        ...settings.backendServer,
        connections: CONNECTIONS_WITHOUT_CONFIGURATION,
        localAddress: settings.address,
    });
    const balancer = LoadBalancer.create(clock, { blind: !inForce("load-balancing") });
    const ownService = settings.service;
    const silence = BackendSilence.create(clock, () => connections.renew());
    const runner = BackendRunner.create({
        clock,
        ownService,
        limiter,
        handles,
        connections,
        silence,
        balancer,
        ...identity,
    });
    const unkeyed = RequestDispatcher.create({
        clock,
        ownName: settings.host,
        ownService,
        location: settings,
        membership,
        balancer,
        runner,
        forwarder,
        hasLocalRoom: () => limiter.load().inFlight < limiter.load().limit || !inForce("concurrency-limit"),
        sharesRetries: inForce("shared-retries"),
    });
    const { failureDomain, seat, limits } = settings;
    const authority = SeatAuthority.create({
        clock,
        transport: channels,
        failureDomain,
        seat,
        incarnation,
        retentionMs: limits.idempotencyKeyMs,
        livePeers: () => seats.isKnown ? membership.livePeers() : undefined,
    });
    const dispatcher = KeyedDispatcher.create({
        clock,
        dispatcher: unkeyed,
        forwarder,
        authority,
        seats,
        table: IdempotencyTable.create(clock, {
            retentionMs: limits.idempotencyKeyMs,
            maximumKeys: limits.idempotencyKeys,
            maximumAnswerBytes: limits.idempotencyAnswerBytes,
        }),
        findHost: name => membership.find(name),
        failureDomains: () => store.current?.configuration.failureDomains ?? {},
        identity: { host: settings.host, incarnation, failureDomain, seat },
        issuedKeyMs: limits.idempotencyKeyMs,
    });
    return {
        clock,
        audit,
        ledger: OutcomeLedger.create(),
        store,
        membership,
        rateLimiter: createRateLimiter({ settings, clock, transport: channels, audit, incarnation, membership }),
        limiter,
        connections,
        entryAdmission: inForce("chain-feedback") ? EntryAdmission.create(clock) : undefined,
        fleetState,
        channels,
        seats,
        authority,
        forwarder,
        dispatcher,
        runner,
        handles,
        proof,
        openRequests: OpenRequests.create(),
    };
}
