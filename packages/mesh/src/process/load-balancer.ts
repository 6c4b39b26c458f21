/**
 * Chooses the backend server for a request.
 *
 * Answers uneven load: servers of different speed, cold or failing ones, and bursts in one failure domain. What this
 * node knows of a server is the load that the node beside it told with its last answer, and its own open requests,
 * which count at once so that not all requests go to the server that looked empty last.
 */
import type { Clock } from "@radishrouter/core";
import { decayFactor } from "@radishrouter/core";
import type { KnownServer } from "./server-directory.js";
import type { ServerLoad } from "./server-gate.js";

/** Result of one send, as far as it speaks for or against the server. */
export type ServerVerdict = "served" | "failed" | "neutral";

interface Observation {
    ownOpen: number;
    /** Requests of others that were open or waiting at the last report. */
    othersOpen: number;
    limit: number;
    /** Part of the server's onward calls that was refused at the last report. */
    onwardPressure: number;
    reportedAtMs: number;
    /** Part of the last sends that the server failed. */
    failedPart: number;
    avoidUntilMs: number;
}

/** Where a request is placed from. */
export interface BalancerOrigin {
    readonly failureDomain: string;
    readonly hostAddress: string;
}

/** What a choice has to respect. */
export interface SelectionRequest {
    readonly origin: BalancerOrigin;
    readonly candidates: readonly KnownServer[];
    /** Instances that were tried for this request. */
    readonly tried: ReadonlySet<string>;
    /** Whether the node beside a server can be used. */
    readonly isReachable: (server: KnownServer) => boolean;
}

/** Reports of load lose half of their weight in this time. */
const REPORT_HALF_LIFE_MS = 500;
/** Used part of a server's slots up to which nearer servers are taken. */
const NEAR_USED_PART = 0.8;
const FARTHER_DOMAIN_COST = 0.15;
const COLD_COST = 0.3;
const FAILING_COST = 1.5;
const VERDICT_WEIGHT = 0.08;
const AVOID_AFTER_REFUSAL_MS = 60;
const AVOID_AFTER_LOSS_MS = 400;

/** Load of servers as this node sees it, by the address of their host, and the choice among them. */
export class LoadBalancer {
    private readonly observations = new Map<string, Observation>();

    private constructor(private readonly clock: Clock, private readonly random: () => number) {}

    static create(clock: Clock, random: () => number = Math.random): LoadBalancer {
        return new LoadBalancer(clock, random);
    }

    /** Chooses a server; undefined when none can be used. */
    choose(request: SelectionRequest): KnownServer | undefined {
        const { candidates, tried, origin } = request;
        const untried = candidates.filter(server => !tried.has(server.instance));
        const reachable = untried.filter(server => request.isReachable(server));
        const nowMs = this.clock.nowMs();
        const calm = reachable.filter(server => this.observationOf(server).avoidUntilMs <= nowMs);
        const usable = calm.length > 0 ? calm : reachable;
        const near = this.chooseNear(usable, origin);
        return near ?? this.lesserOfTwo(usable, origin);
    }

    /** Counts a send as open at a server. */
    start(server: KnownServer): void {
        this.observationOf(server).ownOpen++;
    }

    /** Counts the end of a send. */
    end(server: KnownServer, verdict: ServerVerdict): void {
        const observation = this.observationOf(server);
        observation.ownOpen = Math.max(0, observation.ownOpen - 1);
        if (verdict !== "neutral") {
            const failed = verdict === "failed" ? 1 : 0;
            observation.failedPart += (failed - observation.failedPart) * VERDICT_WEIGHT;
        }
    }

    /** Adopts the load that the node at an address told of the server beside it. */
    report(hostAddress: string, load: ServerLoad, onwardPressure: number): void {
        const observation = this.observations.get(hostAddress);
        if (!observation) {
            return;
        }
        observation.limit = load.limit;
        observation.othersOpen = Math.max(0, load.open + load.waiting - observation.ownOpen);
        observation.onwardPressure = onwardPressure;
        observation.reportedAtMs = this.clock.nowMs();
    }

    /** Passes a server over for a moment after it refused a request or could not be reached. */
    avoid(server: KnownServer, cause: "refusal" | "loss"): void {
        const durationMs = cause === "refusal" ? AVOID_AFTER_REFUSAL_MS : AVOID_AFTER_LOSS_MS;
        this.observationOf(server).avoidUntilMs = this.clock.nowMs() + durationMs;
    }

    /** Forgets the server at a host that is gone. */
    forget(hostAddress: string): void {
        this.observations.delete(hostAddress);
    }

    /** Estimated part of a server's slots that is in use; above 1 when requests wait. */
    usedPart(server: KnownServer): number {
        const observation = this.observationOf(server);
        const othersOpen = observation.othersOpen * this.weightOfReport(observation);
        return (observation.ownOpen + othersOpen) / observation.limit;
    }

    /** Own server, then those of the own failure domain, while they have room. */
    private chooseNear(servers: readonly KnownServer[], origin: BalancerOrigin): KnownServer | undefined {
        const own = servers.find(server => server.hostAddress === origin.hostAddress);
        if (own && this.cost(own, origin) < NEAR_USED_PART) {
            return own;
        }
        const near = servers.filter(server => server.failureDomain === origin.failureDomain);
        const chosen = this.lesserOfTwo(near, origin);
        return chosen && this.cost(chosen, origin) < NEAR_USED_PART ? chosen : undefined;
    }

    private lesserOfTwo(servers: readonly KnownServer[], origin: BalancerOrigin): KnownServer | undefined {
        if (servers.length <= 1) {
            return servers[0];
        }
        const first = Math.floor(this.random() * servers.length);
        const step = 1 + Math.floor(this.random() * (servers.length - 1));
        const left = servers[first]!;
        const right = servers[(first + step) % servers.length]!;
        return this.cost(left, origin) <= this.cost(right, origin) ? left : right;
    }

    private weightOfReport(observation: Observation): number {
        return decayFactor(this.clock.nowMs() - observation.reportedAtMs, REPORT_HALF_LIFE_MS);
    }

    private cost(server: KnownServer, origin: BalancerOrigin): number {
        const observation = this.observationOf(server);
        const isCold = server.warmingUpUntilMs > this.clock.nowMs();
        return this.usedPart(server) +
            (server.failureDomain === origin.failureDomain ? 0 : FARTHER_DOMAIN_COST) +
            (isCold ? COLD_COST : 0) +
            observation.failedPart * FAILING_COST +
            observation.onwardPressure * this.weightOfReport(observation);
    }

    private observationOf(server: KnownServer): Observation {
        let observation = this.observations.get(server.hostAddress);
        if (!observation) {
            observation = {
                ownOpen: 0,
                othersOpen: 0,
                limit: Math.max(1, server.slots),
                onwardPressure: 0,
                reportedAtMs: this.clock.nowMs(),
                failedPart: 0,
                avoidUntilMs: 0,
            };
            this.observations.set(server.hostAddress, observation);
        }
        return observation;
    }
}
