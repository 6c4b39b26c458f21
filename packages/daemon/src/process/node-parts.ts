/**
 * The parts of a node and how they are connected.
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
import { BackendSilence } from "./backend-silence.js";
import { CrashWatch } from "./crash-watch.js";
import { DeploymentProof } from "./deployment-proof.js";
import { DrainState } from "./drain-state.js";
import { FleetState } from "./fleet-state.js";
import { HandleTable } from "./handle-table.js";
import { KeyedDispatcher } from "./keyed-dispatcher.js";
import { createRateLimiter } from "./node-rate-limiter.js";
import { OpenRequests } from "./open-requests.js";
import { PeerForwarder } from "./peer-forwarder.js";
import { isInForce } from "./policy.js";
import type { PolicyName } from "./policy.js";
import { RequestDispatcher } from "./request-dispatcher.js";
import { ServerConnections } from "./server-connections.js";
import type { Settings } from "./settings.js";

const SLOTS_WITHOUT_CONFIGURATION = 1;
const CONNECTIONS_WITHOUT_CONFIGURATION = 1;
const QUARANTINE_OPTIONS = { expiryMs: 600_000, maximumEntries: 4_096 };

/** @internal The coordination parts of a node, which live as long as its process. */
export interface NodeParts {
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

/** Parts that others are built on: clock, identity, configuration and knowledge of other hosts. */
interface BaseParts {
    readonly clock: Clock;
    readonly audit: AuditTrail;
    readonly incarnation: bigint;
    readonly proof: DeploymentProof;
    readonly seats: SeatDirectory;
    readonly fleetState: FleetState;
    readonly drain: DrainState;
    readonly inForce: (name: PolicyName) => boolean;
}

/** Parts that run requests on the backend server of this host or forward them. */
interface ExecutionParts {
    readonly limiter: ConcurrencyLimiter;
    readonly handles: HandleTable;
    readonly connections: ServerConnections;
    readonly balancer: LoadBalancer;
    readonly runner: BackendRunner;
    readonly forwarder: PeerForwarder;
}

/** @internal Creates the parts of a node and connects them. */
export function createNodeParts(settings: Settings): NodeParts {
    const base = createBase(settings);
    const execution = createExecution(settings, base);
    const { clock, audit, incarnation, proof, seats, fleetState, drain, inForce } = base;
    const { membership, store, channels } = fleetState;
    const layouts = SeatLayoutHistory.create(clock, { retentionMs: settings.limits.idempotencyKeyMs });
    store.events.on("inForce", ({ configuration }) => layouts.setFailureDomains(configuration.failureDomains));
    const authority = createAuthority(settings, base, layouts);
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
        entryAdmission: inForce("chain-feedback") ? EntryAdmission.create(clock) : undefined,
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

function createBase(settings: Settings): BaseParts {
    const clock = SystemClock.create();
    const audit = AuditTrail.create();
    const incarnation = BigInt(Date.now());
    const proof = DeploymentProof.create(settings.deploymentSecret);
    const seats = SeatDirectory.create();
    const onHostList = (list: HostList) => seats.setHostList(list);
    const fleetState = FleetState.create({ clock, audit, proof, settings, incarnation, onHostList });
    const inForce = (name: PolicyName) => isInForce(settings.policy, name);
    return { clock, audit, incarnation, proof, seats, fleetState, drain: DrainState.create(), inForce };
}

function createExecution(settings: Settings, base: BaseParts): ExecutionParts {
    const { clock, proof, incarnation, inForce } = base;
    const { membership, channels } = base.fleetState;
    const identity = { ownName: settings.host, ownAddress: settings.address };
    const limiter = ConcurrencyLimiter.create(clock, {
        slots: SLOTS_WITHOUT_CONFIGURATION,
        adaptive: inForce("adaptive-limit"),
        fair: inForce("fair-queue"),
        unlimited: !inForce("concurrency-limit"),
    });
    const connections = ServerConnections.create({
        ...settings.backendServer,
        connections: CONNECTIONS_WITHOUT_CONFIGURATION,
        localAddress: settings.address,
    });
    const crashes = CrashWatch.create({
        clock,
        quarantine: Quarantine.create(clock, QUARANTINE_OPTIONS),
        transport: channels,
        ownName: settings.host,
        incarnation,
        backendServer: settings.backendServer,
        servicePeers: () => membership.livePeersOf(settings.service),
    });
    const handles = HandleTable.create();
    const balancer = LoadBalancer.create(clock, { chooseRandomly: !inForce("load-balancing") });
    const runner = BackendRunner.create({
        clock,
        ownService: settings.service,
        limiter,
        handles,
        connections,
        silence: BackendSilence.create(clock, () => connections.renew()),
        crashes,
        balancer,
        ...identity,
    });
    const onDraining = (host: string) => membership.markLeaving(host, "its answer");
    const forwarder = PeerForwarder.create({ clock, proof, ...identity, onDraining });
    return { limiter, handles, connections, balancer, runner, forwarder };
}

function createAuthority(settings: Settings, base: BaseParts, layouts: SeatLayoutHistory): SeatAuthority {
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
    base: BaseParts,
    execution: ExecutionParts,
    keyOwnership: { readonly authority: SeatAuthority; readonly layouts: SeatLayoutHistory; },
): KeyedDispatcher {
    const { clock, incarnation, seats, drain, inForce } = base;
    const { membership } = base.fleetState;
    const { limiter, balancer, runner, forwarder } = execution;
    const { host, failureDomain, seat, limits } = settings;
    const dispatcher = RequestDispatcher.create({
        clock,
        drain,
        ownName: host,
        ownService: settings.service,
        location: settings,
        membership,
        balancer,
        runner,
        forwarder,
        hasLocalRoom: () => limiter.load().inFlight < limiter.load().limit || !inForce("concurrency-limit"),
        sharesRetries: inForce("shared-retries"),
    });
    const table = IdempotencyTable.create(clock, {
        retentionMs: limits.idempotencyKeyMs,
        maximumKeys: limits.idempotencyKeys,
        maximumAnswerBytes: limits.idempotencyAnswerBytes,
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
        issuedKeyMs: limits.idempotencyKeyMs,
    });
}
