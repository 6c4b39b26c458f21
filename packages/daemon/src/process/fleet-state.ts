/**
 * What a node knows of its fleet: the hosts, and the configuration in force; and how it learns both.
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
import { PlatformDocuments } from "./platform-documents.js";
import { PlatformReader } from "./platform-reader.js";
import type { Settings } from "./settings.js";

/** Parts of the fleet state. */
export interface FleetStateOptions {
    readonly clock: Clock;
    readonly audit: AuditTrail;
    readonly proof: DeploymentProof;
    readonly settings: Settings;
    /** Start of this process in ms since 1970. */
    readonly incarnation: bigint;
    /** Called with each list of the platform that this node adopts. */
    readonly onHostList: (list: HostList) => void;
}

const PLATFORM = "platform";
const SEED_ANSWER_MS = 1_500;

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
    private readonly documents: PlatformDocuments;

    private constructor(private readonly options: FleetStateOptions) {
        const { clock, audit, proof, settings, incarnation } = options;
        const own = { ownName: settings.host, ownFailureDomain: settings.failureDomain };
        this.store = ConfigurationStore.create(audit);
        this.membership = MembershipView.create({ clock, audit, ownName: settings.host, ownIncarnation: incarnation });
        this.hostList = this.createHostListReplica();
        this.channels = ControlChannels.create({
            clock,
            proof,
            incarnation,
            ownName: settings.host,
            ownAddress: settings.address,
            findHost: name => this.findControlAddress(name),
        });
        this.agent = MembershipAgent.create({
            ...own,
            clock,
            transport: this.channels,
            view: this.membership,
            ownIncarnation: incarnation,
            onNewProcess: host => this.distributor.exchangeDigests(host),
            onSuperseded: later => audit.record("seat-conflict", settings.host, `a later process ${later} is known`),
        });
        this.distributor = this.createDistributor();
        this.gate = this.createGate();
        this.reader = PlatformReader.create({ clock, url: settings.platform.url, localAddress: settings.address });
        this.documents = this.createDocuments();
    }

    static create(options: FleetStateOptions): FleetState {
        return new FleetState(options);
    }

    /** Starts talking to peers and, where this node has reason to, reading the platform. */
    start(): void {
        this.agent.start();
        this.distributor.start();
        this.gate.start();
        this.documents.start();
    }

    /** Ends all streams and watches. */
    async stop(): Promise<void> {
        this.documents.stop();
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

    private createDocuments(): PlatformDocuments {
        const { clock, settings } = this.options;
        return PlatformDocuments.create({
            clock,
            reader: this.reader,
            view: this.membership,
            ownName: settings.host,
            ownFailureDomain: settings.failureDomain,
            startDelayMs: settings.seeds.length > 0 ? SEED_ANSWER_MS : 0,
            hasConfiguration: () => this.store.current !== undefined,
            onConfiguration: value => this.gate.offer(() => this.offerConfiguration(value)),
            onHostList: value => this.offerHostList(value),
            onCorrupt: (key, problem) => this.store.refuse(`${key} from ${PLATFORM}`, problem),
        });
    }

    private offerConfiguration(value: unknown): void {
        if (this.store.offer(value, PLATFORM)) {
            this.distributor.push(DocumentKind.CONFIGURATION);
        }
    }

    private offerHostList(value: unknown): void {
        if (this.hostList.offerDocument(value, PLATFORM) === "adopted") {
            this.distributor.push(DocumentKind.HOST_LIST);
        }
    }
}
