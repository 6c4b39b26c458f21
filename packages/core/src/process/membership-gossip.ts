/**
 * Spreads beliefs about hosts: each news is passed on once to all neighbours, and recent news are repeated at intervals
 * so that a lost message does no lasting harm.
 */
import { create } from "@bufbuild/protobuf";
import type { FailureDomainUpdate, HostUpdate } from "@radishrouter/protocol";
import { FailureDomainUpdateSchema, HostState, HostUpdateSchema, HostUpdatesSchema } from "@radishrouter/protocol";
import type { ControlTransport } from "../connection/control-transport.js";
import type { Clock } from "./clock.js";
import type { HostBelief, HostBeliefState } from "./host-belief.js";

/** Parts of a gossip. */
export interface MembershipGossipOptions {
    readonly clock: Clock;
    readonly transport: ControlTransport;
    /** Hosts with which this node keeps control streams. */
    readonly neighbours: () => readonly string[];
}

interface RecentNews {
    readonly belief: HostBelief;
    readonly atMs: number;
}

const RECENT_MS = 60_000;
const MAXIMUM_REPEATED = 50;
const MAXIMUM_TOLD_AT_START = 500;

/** Sends beliefs to neighbours. */
export class MembershipGossip {
    private readonly recent = new Map<string, RecentNews>();

    private constructor(private readonly options: MembershipGossipOptions) {}

    static create(options: MembershipGossipOptions): MembershipGossip {
        return new MembershipGossip(options);
    }

    /** Passes a belief on to all neighbours but the one that it came from. */
    spread(belief: HostBelief, source: string): void {
        this.recent.set(belief.host, { belief, atMs: this.options.clock.nowMs() });
        for (const host of this.options.neighbours().filter(host => host !== source && host !== belief.host)) {
            this.tell(host, [belief]);
        }
    }

    /** Passes a report about a failure domain on. */
    spreadReport(report: Omit<FailureDomainUpdate, "$typeName">, hosts: readonly string[]): void {
        const failureDomains = [create(FailureDomainUpdateSchema, report)];
        for (const host of hosts) {
            const value = create(HostUpdatesSchema, { failureDomains });
            this.options.transport.send(host, { case: "hostUpdates", value });
        }
    }

    /** Repeats recent news to one host. */
    repeatTo(host: string): void {
        const oldestMs = this.options.clock.nowMs() - RECENT_MS;
        for (const [name, { atMs }] of this.recent) {
            if (atMs < oldestMs) {
                this.recent.delete(name);
            }
        }
        this.tell(host, [...this.recent.values()].slice(-MAXIMUM_REPEATED).map(({ belief }) => belief));
    }

    /** Tells a host some beliefs. */
    tell(host: string, beliefs: readonly HostBelief[]): void {
        if (beliefs.length === 0) {
            return;
        }
        const updates = beliefs.slice(0, MAXIMUM_TOLD_AT_START).map(toUpdate);
        this.options.transport.send(host, { case: "hostUpdates", value: create(HostUpdatesSchema, { updates }) });
    }
}

function toUpdate(belief: HostBelief): HostUpdate {
    return create(HostUpdateSchema, {
        host: belief.host,
        incarnation: belief.incarnation,
        revision: belief.revision,
        state: toProtocolState(belief.state),
    });
}

/** Belief that a peer sent; undefined for a state that this version does not know. */
export function toBelief(update: HostUpdate): HostBelief | undefined {
    const state = fromProtocolState(update.state);
    const { host, incarnation, revision } = update;
    return state && { host, incarnation, revision, state };
}

function toProtocolState(state: HostBeliefState): HostState {
    switch (state) {
        case "live":
            return HostState.LIVE;
        case "failed":
            return HostState.FAILED;
        case "leaving":
            return HostState.LEAVING;
    }
}

function fromProtocolState(state: HostState): HostBeliefState | undefined {
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
