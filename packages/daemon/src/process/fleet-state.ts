/**
 * State of the fleet as a node knows it, the hosts and the active configuration, and the components that keep it up to
 * date.
 */
import type { AuditTrail, Clock, HostList } from "@radishrouter/core";
import {
    DocumentDistributor,
    DocumentReplica,
    hostListFormat,
    MembershipAgent,
    MembershipView,
    StartupGate,
} from "@radishrouter/core";
import { DocumentKind } from "@radishrouter/protocol";
import { ControlChannels } from "../connection/control-channels.js";
import type { ControlAddress } from "../connection/control-channels.js";
import { ConfigurationStore } from "../version/configuration-store.js";
import type { DeploymentProof } from "./deployment-proof.js";
import { PlatformReader } from "./platform-reader.js";
import { PlatformWatcher } from "./platform-watcher.js";
import type { Settings } from "./settings.js";

/** Collaborators, identity and settings of the fleet state. */
export interface FleetStateOptions {
    readonly clock: Clock;
    readonly audit: AuditTrail;
    readonly proof: DeploymentProof;
    readonly settings: Settings;
    /** Start of this process in ms since 1970. */
    readonly incarnation: bigint;
    /** Called with each host list of the platform that this node applies. */
    readonly onHostList: (list: HostList) => void;
}

/** Name of the platform as the source of documents, in audit entries. */
const PLATFORM_SOURCE = "platform";
/** Time that seeds have to respond before the platform is asked for hosts. */
const SEED_RESPONSE_MS = 1_500;

/** Membership and configuration of one node. */
export class FleetState {
    readonly membership: MembershipView;
    readonly store: ConfigurationStore;
    readonly channels: ControlChannels;
    private readonly agent: MembershipAgent;
    private readonly hostList: DocumentReplica<HostList>;
    private readonly distributor: DocumentDistributor;
    private readonly gate: StartupGate;
    private readonly reader: PlatformReader;
    private readonly platformWatcher: PlatformWatcher;

    private constructor(private readonly options: FleetStateOptions) {
        const { clock, audit, proof, settings, incarnation } = options;
        const localIdentity = { ownName: settings.host, ownFailureDomain: settings.failureDomain };
        this.store = ConfigurationStore.create(audit);
        this.membership = MembershipView.create({ clock, audit, ownName: settings.host, ownIncarnation: incarnation });
        this.hostList = this.createHostListReplica();
        this.channels = ControlChannels.create({
            clock,
            proof,
            incarnation,
            localHostName: settings.host,
            localAddress: settings.address,
            findHost: name => this.findControlAddress(name),
        });
        this.agent = MembershipAgent.create({
            ...localIdentity,
            clock,
            transport: this.channels,
            view: this.membership,
            ownIncarnation: incarnation,
            onNewProcess: host => this.distributor.exchangeDigests(host),
            onSuperseded: laterIncarnation =>
                audit.record("seat-conflict", settings.host, `a later process ${laterIncarnation} is known`),
        });
        this.distributor = this.createDistributor();
        this.gate = this.createGate();
        this.reader = PlatformReader.create({ clock, url: settings.platform.url, localAddress: settings.address });
        this.platformWatcher = this.createPlatformWatcher();
    }

    static create(options: FleetStateOptions): FleetState {
        return new FleetState(options);
    }

    /** Starts the exchange with peers and, if this node has to read it, with the platform. */
    start(): void {
        this.agent.start();
        this.distributor.start();
        this.gate.start();
        this.platformWatcher.start();
    }

    /** Closes all control streams and ends all watches of the platform. */
    async stop(): Promise<void> {
        this.platformWatcher.stop();
        this.gate.stop();
        this.distributor.stop();
        this.agent.stop();
        this.channels.close();
        await this.reader.close();
    }

    private findControlAddress(name: string): ControlAddress | undefined {
        return this.membership.find(name) ?? this.options.settings.seeds.find(seed => seed.host === name);
    }

    private createHostListReplica(): DocumentReplica<HostList> {
        return DocumentReplica.create({
            format: hostListFormat,
            onAdopted: list => {
                this.membership.setHostList(list);
                this.options.onHostList(list);
            },
            onRefused: (source, problem) => this.store.refuse(`host list from ${source}`, problem),
        });
    }

    private createDistributor(): DocumentDistributor {
        return DocumentDistributor.create({
            clock: this.options.clock,
            transport: this.channels,
            peers: this.agent,
            replicas: [this.store.replica, this.hostList],
        });
    }

    private createGate(): StartupGate {
        return StartupGate.create({
            clock: this.options.clock,
            transport: this.channels,
            kind: DocumentKind.CONFIGURATION,
            peersToAsk: () => this.membership.hasHostList ? this.agent.neighbours() : this.seedNames(),
            exchangeDigests: host => this.distributor.exchangeDigests(host),
            hasVersion: () => this.store.current !== undefined,
        });
    }

    private seedNames(): string[] | undefined {
        const names = this.options.settings.seeds.map(seed => seed.host);
        return names.length > 0 ? names : undefined;
    }

    private createPlatformWatcher(): PlatformWatcher {
        const { clock, settings } = this.options;
        return PlatformWatcher.create({
            clock,
            reader: this.reader,
            view: this.membership,
            localHostName: settings.host,
            localFailureDomain: settings.failureDomain,
            startDelayMs: settings.seeds.length > 0 ? SEED_RESPONSE_MS : 0,
            hasConfiguration: () => this.store.current !== undefined,
            onConfiguration: value => this.gate.offer(() => this.offerConfiguration(value)),
            onHostList: value => this.offerHostList(value),
            onInvalid: (key, problem) => this.store.refuse(`${key} from ${PLATFORM_SOURCE}`, problem),
        });
    }

    private offerConfiguration(value: unknown): void {
        if (this.store.offer(value, PLATFORM_SOURCE)) {
            this.distributor.push(DocumentKind.CONFIGURATION);
        }
    }

    private offerHostList(value: unknown): void {
        if (this.hostList.offerDocument(value, PLATFORM_SOURCE) === "adopted") {
            this.distributor.push(DocumentKind.HOST_LIST);
        }
    }
}
