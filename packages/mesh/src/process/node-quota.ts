/**
 * Components of a node that limit organisations to their rates, and what they follow: the list of hosts and the
 * configuration.
 */
import type { Clock } from "@radishrouter/core";
import { TokenBroker } from "../connection/token-broker.js";
import type { TokenRequest } from "../connection/token-broker.js";
import type { MeshConfiguration } from "../version/mesh-configuration.js";
import type { MeshNodeSettings } from "./mesh-node-settings.js";
import { OrganisationQuota } from "./organisation-quota.js";
import type { TokenGrant } from "./organisation-quota.js";
import { QuotaHandover } from "./quota-handover.js";
import { QuotaHosts, SILENT_HOST_MS } from "./quota-hosts.js";
import type { RequestLog } from "./request-log.js";
import type { BackendServer, DirectoryChange, ServerDirectory } from "./server-directory.js";

/** Collaborators and settings. */
export interface NodeQuotaOptions {
    readonly clock: Clock;
    readonly log: RequestLog;
    readonly directory: ServerDirectory;
    readonly settings: Pick<MeshNodeSettings, "hostAddress" | "keyLeaseMs" | "rateReductionMs" | "quotaTolerance">;
    /** Whether tokens can be requested from a host. */
    readonly isReachable: (address: string) => boolean;
    /** Requests tokens from a host; resolves with undefined if it gives no answer. */
    readonly requestTokens: (address: string, request: TokenRequest) => Promise<TokenGrant | undefined>;
}

/** Age up to which a server that is listed at the start of this process is taken for new. */
const NEW_SERVER_MS = 10_000;
/** Time after the first server was listed within which the rest of the first list is applied. */
const FIRST_LIST_MS = 1_000;
/** Time for which a host that joins waits at most for the one that it replaces, where keys need no proof. */
const DEFAULT_HANDOVER_MS = 5_000;

/** The quotas of all organisations at this node. */
export class NodeQuota {
    readonly quota: OrganisationQuota;
    readonly broker: TokenBroker;
    private readonly hosts: QuotaHosts;
    private readonly handover: QuotaHandover;
    /** Time until which other hosts count this one although its server is not listed. */
    private countedUntilMs = -Infinity;
    /** Time at which the first server was listed. */
    private firstListedAtMs: number | undefined;

    private constructor(private readonly options: NodeQuotaOptions) {
        const { clock, log, directory, settings, isReachable, requestTokens } = options;
        this.hosts = QuotaHosts.create(clock, () => directory.fleetHosts, () => this.quota.updateShares());
        this.handover = QuotaHandover.create({
            clock,
            limitMs: settings.keyLeaseMs ?? DEFAULT_HANDOVER_MS,
            previousHolders: organisation => this.quota.replacedHolders(organisation),
            askIsGenerating: (address, organisation) => this.askIsGenerating(address, organisation),
            onTakenOver: organisation => {
                log.event("quota-taken-over", { organisation });
                this.quota.updateShareOf(organisation);
            },
        });
        this.quota = OrganisationQuota.create(
            clock,
            settings.hostAddress,
            () => this.hosts.hosts,
            settings.rateReductionMs,
            settings.quotaTolerance,
            this.handover,
        );
        const localAddress = settings.hostAddress;
        this.broker = TokenBroker.create({ clock, quota: this.quota, localAddress, isReachable, requestTokens });
    }

    static create(options: NodeQuotaOptions): NodeQuota {
        return new NodeQuota(options);
    }

    /** Follows a new configuration. */
    setOrganisations({ organisations }: MeshConfiguration): void {
        this.quota.setOrganisations(organisations ?? []);
        this.broker.forgetWithdrawn();
    }

    /** Follows a change of the list of hosts. */
    applyServerChange({ kind, server }: DirectoryChange): void {
        const { clock, directory, settings } = this.options;
        const { hostAddress, failureDomain, state } = server;
        this.firstListedAtMs ??= clock.nowMs();
        if (kind === "left" && state === "ready" && !directory.hasHost(hostAddress)) {
            this.hosts.recordSilent({ address: hostAddress, failureDomain });
            this.countedUntilMs = hostAddress === settings.hostAddress ?
                clock.nowMs() + SILENT_HOST_MS :
                this.countedUntilMs;
        }
        if (kind === "joined" && hostAddress === settings.hostAddress && this.isNewHost(server)) {
            this.handover.begin();
        }
        if (kind === "left" || kind === "joined") {
            this.quota.updateShares();
        }
    }

    /** Whether other hosts did not count this one before its server joined. */
    private isNewHost({ instance, hostAddress, startedAtMs }: BackendServer): boolean {
        const { clock, directory } = this.options;
        const hasOtherServer = [...directory.all()].some(other =>
            other.hostAddress === hostAddress && other.instance !== instance
        );
        return (this.hasFollowedList() || isNew(startedAtMs)) && !hasOtherServer &&
            clock.nowMs() >= this.countedUntilMs;
    }

    /** Whether the list was known without the local server, so that the server is new whatever start it names. */
    private hasFollowedList(): boolean {
        return this.options.clock.nowMs() - (this.firstListedAtMs ?? Infinity) > FIRST_LIST_MS;
    }

    private async askIsGenerating(address: string, organisation: string): Promise<boolean | undefined> {
        const grant = await this.options.requestTokens(address, { organisation, wanted: 0, isReserve: false });
        return grant?.isGenerating;
    }
}

/**
 * Whether a server has just started; one that runs for longer was listed before this process started. Nothing but the time
 * of day tells when it started; it is that of this host.
 */
function isNew(startedAtMs: number | undefined): boolean {
    return startedAtMs === undefined || Date.now() - startedAtMs < NEW_SERVER_MS;
}
