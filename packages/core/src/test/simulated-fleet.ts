/**
 * Simulates several nodes, with their membership and configuration components, on a network in which tests lose, delay,
 * duplicate and block messages.
 */
import type { ControlMessage } from "@radishrouter/protocol";
import { DocumentKind } from "@radishrouter/protocol";
import type { ControlTransport, ReceivedMessage } from "../connection/control-transport.js";
import type { Clock, ManualClock, Timer } from "../process/clock.js";
import { DocumentDistributor } from "../process/document-distributor.js";
import { DocumentReplica } from "../process/document-replica.js";
import { MembershipAgent } from "../process/membership-agent.js";
import { MembershipView } from "../process/membership-view.js";
import { StartupGate } from "../process/startup-gate.js";
import type { Configuration } from "../version/configuration.js";
import { configurationFormat } from "../version/document-format.js";
import type { Host, HostList } from "../version/host-list.js";

/** Clock of one process; while the process is paused, its callbacks are deferred. */
class PausableClock implements Clock {
    private deferred: (() => void)[] | undefined;
    isEnded = false;

    constructor(private readonly clock: ManualClock) {}

    nowMs(): number {
        return this.clock.nowMs();
    }

    setTimer(delayMs: number, callback: () => void): Timer {
        let cancelled = false;
        const timer = this.clock.setTimer(delayMs, () =>
            this.run(() => {
                if (!cancelled) {
                    callback();
                }
            }));
        return {
            cancel: () => {
                cancelled = true;
                timer.cancel();
            },
        };
    }

    run(action: () => void): void {
        if (this.isEnded) {
            return;
        }
        if (this.deferred) {
            this.deferred.push(action);
            return;
        }
        action();
    }

    pause(): void {
        this.deferred ??= [];
    }

    resume(): void {
        const deferred = this.deferred ?? [];
        this.deferred = undefined;
        deferred.forEach(action => this.run(action));
    }
}

/** One process of a simulated host. */
export interface SimulatedProcess {
    readonly name: string;
    readonly incarnation: bigint;
    readonly clock: PausableClock;
    readonly view: MembershipView;
    readonly agent: MembershipAgent;
    readonly distributor: DocumentDistributor;
    readonly replica: DocumentReplica<Configuration>;
    readonly gate: StartupGate;
    readonly listeners: Set<(received: ReceivedMessage) => void>;
    /** Versions in the order in which they became active. */
    readonly versions: number[];
    readonly refusals: string[];
}

/** Faults of the network, and the version that the platform publishes. */
export interface NetworkConditions {
    lossRatio: number;
    duplicateRatio: number;
    maximumDelayMs: number;
    /** Hosts on one side of a partition; they reach only each other. */
    partitioned: ReadonlySet<string>;
    /** Pairs of sender and receiver between which every message is lost, such as `a-1>a-2`. */
    blocked: ReadonlySet<string>;
    /** Version that the platform publishes; undefined while it is down. */
    platformVersion: number | undefined;
}

const PLATFORM_POLL_MS = 500;
const FIRST_INCARNATION = 1_000n;

export function createConfiguration(version: number, rate = version): Configuration {
    return {
        version,
        organisations: { archive: { rate, burst: 1, keys: [] }, mission: { rate: 1, burst: 1, keys: [] } },
        services: {},
        failureDomains: { "khomas-a": { region: "khomas", seats: 1 } },
    };
}

export class SimulatedFleet {
    readonly processes = new Map<string, SimulatedProcess>();
    readonly conditions: NetworkConditions = {
        lossRatio: 0,
        duplicateRatio: 0,
        maximumDelayMs: 20,
        partitioned: new Set(),
        blocked: new Set(),
        platformVersion: undefined,
    };
    private nextIncarnation = FIRST_INCARNATION;

    constructor(
        readonly clock: ManualClock,
        readonly hosts: readonly Host[],
        /** Hosts that read the platform. */
        private readonly readers: readonly string[],
        private readonly random: () => number,
    ) {}

    startAll(): void {
        this.hosts.forEach(host => this.start(host.name));
    }

    start(name: string): SimulatedProcess {
        this.kill(name);
        const process = this.createProcess(name);
        this.processes.set(name, process);
        process.view.setHostList(this.hostList());
        process.agent.start();
        process.distributor.start();
        process.gate.start();
        if (this.readers.includes(name)) {
            this.poll(process);
        }
        return process;
    }

    kill(name: string): void {
        const process = this.processes.get(name);
        if (process) {
            process.clock.isEnded = true;
            this.processes.delete(name);
        }
    }

    process(name: string): SimulatedProcess {
        return this.processes.get(name)!;
    }

    hostList(): HostList {
        return { revision: 1, hosts: [...this.hosts] };
    }

    private poll(process: SimulatedProcess): void {
        const version = this.conditions.platformVersion;
        if (version !== undefined && !this.conditions.partitioned.has(process.name)) {
            process.gate.offer(() => {
                if (process.replica.offerDocument(createConfiguration(version), "platform") === "adopted") {
                    process.distributor.push(DocumentKind.CONFIGURATION);
                }
            });
        }
        process.clock.setTimer(PLATFORM_POLL_MS, () => this.poll(process));
    }

    private createProcess(name: string): SimulatedProcess {
        const clock = new PausableClock(this.clock);
        const incarnation = this.nextIncarnation++;
        const listeners = new Set<(received: ReceivedMessage) => void>();
        const versions: number[] = [];
        const refusals: string[] = [];
        const view = MembershipView.create({ ownName: name, ownIncarnation: incarnation, clock });
        const transport: ControlTransport = {
            send: (host, body) => this.send({ name, incarnation }, host, body),
            subscribe: listener => {
                listeners.add(listener);
                return () => listeners.delete(listener);
            },
        };
        const replica = DocumentReplica.create({
            format: configurationFormat,
            onAdopted: content => versions.push(content.version),
            onRefused: (_source, problem) => refusals.push(problem),
        });
        const ownFailureDomain = this.hosts.find(host => host.name === name)!.failureDomain;
        const { random } = this;
        const agent = MembershipAgent.create({
            clock,
            transport,
            view,
            random,
            ownName: name,
            ownFailureDomain,
            ownIncarnation: incarnation,
            onNewProcess: host => distributor.exchangeDigests(host),
        });
        const distributor = DocumentDistributor.create({ clock, transport, peers: agent, replicas: [replica], random });
        const gate = StartupGate.create({
            clock,
            transport,
            kind: DocumentKind.CONFIGURATION,
            peersToAsk: () => agent.neighbours(),
            exchangeDigests: host => distributor.exchangeDigests(host),
            hasVersion: () => replica.version > 0,
        });
        return { name, incarnation, clock, view, agent, distributor, replica, gate, listeners, versions, refusals };
    }

    private send(from: { name: string; incarnation: bigint; }, to: string, body: ControlMessage["body"]): void {
        const { lossRatio, duplicateRatio, maximumDelayMs } = this.conditions;
        const copies = this.random() < duplicateRatio ? 2 : 1;
        for (let copy = 0; copy < copies; copy++) {
            if (this.random() >= lossRatio) {
                this.clock.setTimer(this.random() * maximumDelayMs, () => this.deliver(from, to, body));
            }
        }
    }

    private deliver(from: { name: string; incarnation: bigint; }, to: string, body: ControlMessage["body"]): void {
        const { partitioned, blocked } = this.conditions;
        const receiver = this.processes.get(to);
        if (!receiver || partitioned.has(from.name) !== partitioned.has(to) || blocked.has(`${from.name}>${to}`)) {
            return;
        }
        const message = { body } as ControlMessage;
        receiver.clock.run(() => {
            receiver.listeners.forEach(listener =>
                listener({ sender: from.name, incarnation: from.incarnation, message })
            );
        });
    }
}

/** Hosts named by failure domain and number, such as `a-1`. */
export function createHosts(counts: Readonly<Record<string, number>>): Host[] {
    return Object.entries(counts).flatMap(([failureDomain, count]) =>
        Array.from({ length: count }, (_, index) => ({
            name: `${failureDomain}-${index + 1}`,
            address: "127.0.0.1",
            failureDomain,
            region: "khomas",
            service: "catalogue",
            callerPort: 1,
            forwardPort: 2,
            controlPort: 3,
            state: "live" as const,
        }))
    );
}
