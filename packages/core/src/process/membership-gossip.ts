/**
 * Distributes host statuses by gossip: each new status is passed on once to all neighbours, and recent ones are sent
 * again at intervals so that a lost message has no lasting effect.
 */
import { create } from "@bufbuild/protobuf";
import type { FailureDomainUpdate, HostUpdate } from "@radishrouter/protocol";
import { FailureDomainUpdateSchema, HostState, HostUpdateSchema, HostUpdatesSchema } from "@radishrouter/protocol";
import type { ControlTransport } from "../connection/control-transport.js";
import type { Clock } from "./clock.js";
import type { HostStatus, HostStatusState } from "./host-status.js";

/** Dependencies of membership gossip. */
export interface MembershipGossipOptions {
    readonly clock: Clock;
    readonly transport: ControlTransport;
    /** Hosts with which this node keeps control streams. */
    readonly neighbours: () => readonly string[];
}

interface RecentStatus {
    readonly status: HostStatus;
    readonly receivedAtMs: number;
}

/** Time for which a status is sent again after it was received. */
const RECENT_STATUS_MS = 60_000;
const MAXIMUM_RESENT_STATUSES = 50;
/** Bounds each message to a new process, which is sent every status other than live. */
const MAXIMUM_STATUSES_PER_MESSAGE = 500;

/** Sends host statuses and failure domain reports to other nodes. */
export class MembershipGossip {
    private readonly recentStatuses = new Map<string, RecentStatus>();

    private constructor(private readonly options: MembershipGossipOptions) {}

    static create(options: MembershipGossipOptions): MembershipGossip {
        return new MembershipGossip(options);
    }

    /** Sends a status to all neighbours except its source and the host that it is about. */
    broadcast(status: HostStatus, source: string): void {
        this.recentStatuses.set(status.host, { status, receivedAtMs: this.options.clock.nowMs() });
        for (const host of this.options.neighbours().filter(host => host !== source && host !== status.host)) {
            this.send(host, [status]);
        }
    }

    /** Sends a report about a failure domain to some hosts. */
    sendDomainReport(report: Omit<FailureDomainUpdate, "$typeName">, hosts: readonly string[]): void {
        const failureDomains = [create(FailureDomainUpdateSchema, report)];
        for (const host of hosts) {
            const value = create(HostUpdatesSchema, { failureDomains });
            this.options.transport.send(host, { case: "hostUpdates", value });
        }
    }

    /** Sends the recent statuses to one host again. */
    resendRecent(host: string): void {
        const oldestMs = this.options.clock.nowMs() - RECENT_STATUS_MS;
        for (const [name, { receivedAtMs }] of this.recentStatuses) {
            if (receivedAtMs < oldestMs) {
                this.recentStatuses.delete(name);
            }
        }
        this.send(host, [...this.recentStatuses.values()].slice(-MAXIMUM_RESENT_STATUSES).map(({ status }) => status));
    }

    /** Sends statuses to one host, in as many messages as they need. */
    send(host: string, statuses: readonly HostStatus[]): void {
        for (let start = 0; start < statuses.length; start += MAXIMUM_STATUSES_PER_MESSAGE) {
            const updates = statuses.slice(start, start + MAXIMUM_STATUSES_PER_MESSAGE).map(toUpdate);
            this.options.transport.send(host, { case: "hostUpdates", value: create(HostUpdatesSchema, { updates }) });
        }
    }
}

function toUpdate(status: HostStatus): HostUpdate {
    return create(HostUpdateSchema, {
        host: status.host,
        incarnation: status.incarnation,
        revision: status.revision,
        state: toProtocolState(status.state),
    });
}

/** Decodes a status that a peer sent; undefined for a state that this version does not know. */
export function toHostStatus(update: HostUpdate): HostStatus | undefined {
    const state = fromProtocolState(update.state);
    const { host, incarnation, revision } = update;
    return state && { host, incarnation, revision, state };
}

function toProtocolState(state: HostStatusState): HostState {
    switch (state) {
        case "live":
            return HostState.LIVE;
        case "failed":
            return HostState.FAILED;
        case "leaving":
            return HostState.LEAVING;
    }
}

function fromProtocolState(state: HostState): HostStatusState | undefined {
    switch (state) {
        case HostState.LIVE:
            return "live";
        case HostState.FAILED:
            return "failed";
        case HostState.LEAVING:
            return "leaving";
        default:
            return undefined;
    }
}
