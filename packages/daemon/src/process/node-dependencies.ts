/**
 * Creates the components of a node and connects them.
 */
import {
    AuditTrail,
    BacklogMonitor,
    ConcurrencyLimiter,
    EntryAdmission,
    IdempotencyTable,
    LoadBalancer,
    OutcomeLedger,
    PauseDetector,
    Quarantine,
    SeatAuthority,
    SeatDirectory,
    SeatLayoutHistory,
    SystemClock,
} from "@radishrouter/core";
import type { Clock, HostList, MembershipView, RateLimiter } from "@radishrouter/core";
import type { ControlChannels } from "../connection/control-channels.js";
import type { ConfigurationStore } from "../version/configuration-store.js";
import { BackendRunner } from "./backend-runner.js";
import { CrashDetector } from "./crash-detector.js";
import { DeploymentProof } from "./deployment-proof.js";
import { DrainState } from "./drain-state.js";
import { FleetState } from "./fleet-state.js";
import { HandleTable } from "./handle-table.js";
import { KeyedDispatcher } from "./keyed-dispatcher.js";
import { createRateLimiter } from "./node-rate-limiter.js";
import { OpenRequests } from "./open-requests.js";
import { PeerForwarder } from "./peer-forwarder.js";
import { isPolicyActive } from "./policy.js";
import type { PolicyName } from "./policy.js";
import { RequestDispatcher } from "./request-dispatcher.js";
import { ServerConnections } from "./server-connections.js";
import type { Settings } from "./settings.js";
import { UnresponsiveConnectionDetector } from "./unresponsive-connection-detector.js";

const SLOTS_WITHOUT_CONFIGURATION = 1;
const CONNECTIONS_WITHOUT_CONFIGURATION = 1;
const QUARANTINE_OPTIONS = {
    expiryMs: 600_000,
    maximumEnds: 256,
    maximumSuspects: 512,
    maximumFingerprints: 16_384,
};

/** @internal The components of a node, which live as long as its process. */
export interface NodeDependencies {
    readonly clock: Clock;
    readonly audit: AuditTrail;
    readonly ledger: OutcomeLedger;
    readonly store: ConfigurationStore;
    readonly membership: MembershipView;
    readonly rateLimiter: RateLimiter;
    readonly limiter: ConcurrencyLimiter;
    readonly fleetState: FleetState;
    readonly connections: ServerConnections;
    readonly entryAdmission: EntryAdmission | undefined;
    readonly channels: ControlChannels;
    readonly forwarder: PeerForwarder;
    readonly dispatcher: KeyedDispatcher;
    readonly seats: SeatDirectory;
    readonly drain: DrainState;
    readonly pauses: PauseDetector;
    readonly backlog: BacklogMonitor;
    readonly authority: SeatAuthority;
    readonly runner: BackendRunner;
    readonly handles: HandleTable;
    readonly proof: DeploymentProof;
    readonly openRequests: OpenRequests;
}

/** Components that others are built on: clock, identity, configuration and membership. */
interface BaseDependencies {
    readonly clock: Clock;
    readonly audit: AuditTrail;
    readonly incarnation: bigint;
    readonly proof: DeploymentProof;
    readonly seats: SeatDirectory;
    readonly fleetState: FleetState;
    readonly drain: DrainState;
    readonly isActive: (name: PolicyName) => boolean;
}

/** Components that run requests on the backend server of this host or forward them. */
interface ExecutionDependencies {
    readonly limiter: ConcurrencyLimiter;
    readonly handles: HandleTable;
    readonly connections: ServerConnections;
    readonly balancer: LoadBalancer;
    readonly runner: BackendRunner;
    readonly forwarder: PeerForwarder;
}

/** @internal Creates the components of a node and connects them. */
export function createNodeDependencies(settings: Settings): NodeDependencies {
    const base = createBaseDependencies(settings);
    const execution = createExecutionDependencies(settings, base);
    const { clock, audit, incarnation, proof, seats, fleetState, drain, isActive } = base;
    const { membership, store, channels } = fleetState;
    const layouts = SeatLayoutHistory.create(clock, { retentionMs: settings.limits.idempotencyKeyMs });
    store.events.on("inForce", ({ configuration }) => layouts.setFailureDomains(configuration.failureDomains));
    const authority = createSeatAuthority(settings, base, layouts);
    return {
        clock,
        audit,
        ledger: OutcomeLedger.create(),
        store,
        membership,
        rateLimiter: createRateLimiter({ settings, clock, transport: channels, audit, incarnation, membership }),
        limiter: execution.limiter,
        fleetState,
        connections: execution.connections,
        entryAdmission: isActive("chain-feedback") ? EntryAdmission.create(clock) : undefined,
        channels,
        seats,
        drain,
        pauses: PauseDetector.create(clock),
        backlog: BacklogMonitor.create(clock),
        authority,
        forwarder: execution.forwarder,
        dispatcher: createKeyedDispatcher(settings, base, execution, { authority, layouts }),
        runner: execution.runner,
        handles: execution.handles,
        proof,
        openRequests: OpenRequests.create(),
    };
}

function createBaseDependencies(settings: Settings): BaseDependencies {
    const clock = SystemClock.create();
    const audit = AuditTrail.create();
    const incarnation = BigInt(Date.now());
    const proof = DeploymentProof.create(settings.deploymentSecret);
    const seats = SeatDirectory.create();
    const onHostList = (list: HostList) => seats.setHostList(list);
    const fleetState = FleetState.create({ clock, audit, proof, settings, incarnation, onHostList });
    const isActive = (name: PolicyName) => isPolicyActive(settings.policy, name);
    return { clock, audit, incarnation, proof, seats, fleetState, drain: DrainState.create(), isActive };
}

function createExecutionDependencies(settings: Settings, base: BaseDependencies): ExecutionDependencies {
    const { clock, proof, incarnation, isActive } = base;
    const { membership, channels } = base.fleetState;
    const identity = { localHostName: settings.host, localAddress: settings.address };
    const limiter = ConcurrencyLimiter.create(clock, {
        slots: SLOTS_WITHOUT_CONFIGURATION,
        adaptive: isActive("adaptive-limit"),
        fair: isActive("fair-queue"),
        unlimited: !isActive("concurrency-limit"),
    });
    const connections = ServerConnections.create({
        ...settings.backendServer,
        connections: CONNECTIONS_WITHOUT_CONFIGURATION,
        localAddress: settings.address,
    });
    const crashDetector = CrashDetector.create({
        clock,
        quarantine: Quarantine.create(clock, QUARANTINE_OPTIONS),
        transport: channels,
        localHostName: settings.host,
        incarnation,
        backendServer: settings.backendServer,
        servicePeers: () => membership.livePeersOf(settings.service),
    });
    const handles = HandleTable.create();
    const balancer = LoadBalancer.create(clock, { chooseRandomly: !isActive("load-balancing") });
    const runner = BackendRunner.create({
        clock,
        localService: settings.service,
        limiter,
        handles,
        connections,
        silence: UnresponsiveConnectionDetector.create(clock, () => connections.renew()),
        crashDetector,
        balancer,
        ...identity,
    });
    const onDraining = (host: string) => membership.markDraining(host, "its answer");
    const forwarder = PeerForwarder.create({ clock, proof, ...identity, onDraining });
    return { limiter, handles, connections, balancer, runner, forwarder };
}

function createSeatAuthority(settings: Settings, base: BaseDependencies, layouts: SeatLayoutHistory): SeatAuthority {
    const { membership, channels } = base.fleetState;
    return SeatAuthority.create({
        seatHandoverRemainingMs: (name, number) => layouts.seatHandoverRemainingMs(name, number),
        clock: base.clock,
        transport: channels,
        failureDomain: settings.failureDomain,
        seat: settings.seat,
        incarnation: base.incarnation,
        retentionMs: settings.limits.idempotencyKeyMs,
        livePeers: () => base.seats.hasHostList ? membership.livePeers() : undefined,
    });
}

function createKeyedDispatcher(
    settings: Settings,
    base: BaseDependencies,
    execution: ExecutionDependencies,
    keyOwnership: { readonly authority: SeatAuthority; readonly layouts: SeatLayoutHistory; },
): KeyedDispatcher {
    const { clock, incarnation, seats, drain, isActive } = base;
    const { membership } = base.fleetState;
    const { limiter, balancer, runner, forwarder } = execution;
    const { host, failureDomain, seat, limits } = settings;
    const dispatcher = RequestDispatcher.create({
        clock,
        drain,
        localHostName: host,
        localService: settings.service,
        location: settings,
        membership,
        balancer,
        runner,
        forwarder,
        hasLocalCapacity: () => limiter.load().inFlight < limiter.load().limit || !isActive("concurrency-limit"),
        sharesRetryBudget: isActive("shared-retries"),
    });
    const table = IdempotencyTable.create(clock, {
        retentionMs: limits.idempotencyKeyMs,
        maximumKeys: limits.idempotencyKeys,
        maximumResponseBytes: limits.idempotencyAnswerBytes,
    });
    return KeyedDispatcher.create({
        clock,
        dispatcher,
        forwarder,
        ...keyOwnership,
        seats,
        table,
        findHost: name => membership.find(name),
        identity: { host, incarnation, failureDomain, seat },
        issuedKeyLifetimeMs: limits.idempotencyKeyMs,
    });
}
