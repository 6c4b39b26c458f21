/**
 * Chooses the backend server for a request by the expected time to a response.
 *
 * Handles uneven load: servers of different speed, servers that are slowed down for parts of a second, that are warming
 * up or failing, and bursts in one failure domain. This node knows the load and the speed that the node on a server's
 * host reported, with its last response or through other nodes, and its own attempts in flight at that server. The latter
 * count at once, so that not all requests go to the server whose last report showed the lowest load. A server that names
 * a rate is left out of the choice for a part of the requests.
 */
import type { Clock } from "@radishrouter/core";
import { distanceCost, expectedTime } from "./expected-time.js";
import { availableServers, serversWithinRate } from "./server-availability.js";
import type { BalancerOrigin, SelectionRequest } from "./server-availability.js";
import type { KnownServer } from "./server-directory.js";
import {
    applyLoad,
    createObservation,
    currentRateShare,
    directReportWeight,
    momentarySlowness,
    relativeServiceTime,
    toKnownLoad,
    utilizationOf,
} from "./server-observation.js";
import type { KnownLoad, LoadReport, ServerObservation, ServerReport } from "./server-observation.js";
import { ServiceLoadView } from "./service-load-view.js";
import type { OverflowChange } from "./service-load-view.js";

/** What the outcome of one attempt shows about the server; `neutral` counts neither for nor against it. */
export type ServerVerdict = "served" | "failed" | "neutral";

/** Cost (mainly the utilization of a server's slots) below which nearer servers are preferred. */
const NEAR_UTILIZATION_LIMIT = 0.8;
/** Penalty, such as for failures, from which servers of other domains are compared with those of the own one. */
const PENALTY_LIMIT = 0.3;
/**
 * Age of the last report after which a server gets a request although another one is expected to respond first: one that
 * was slow for a while would else get none without load.
 */
const PROBE_AFTER_MS = 5_000;
/** Slowness from which servers of other domains are compared as well. */
const SLOW_LIMIT = 1.5;
/** Service time, relative to the median of the service, up to which the local server comes before others. */
const LOCAL_TIME_LIMIT = 1.25;
// Costs are in service times of the service's median server.
/** Cost of a server whose entry says that it is cold, while its limit, which includes a slow start, is not known. */
const WARM_UP_COST = 0.3;
const FAILURE_COST = 1.5;
/** Weight of the newest verdict in the moving average of failures. */
const VERDICT_WEIGHT = 0.08;
const AVOID_AFTER_REFUSAL_MS = 60;
const AVOID_AFTER_LOSS_MS = 400;
/** Within this time the node in doubt responds, or counts as unresponsive. */
const AVOID_WHILE_DOUBTFUL_MS = 400;

/** Load of the servers as this node observes it, by host address, and the choice among them. */
export class LoadBalancer {
    /** Choices by the place of the server, since the start; `overflow` is the part of `far` that the plan sent away. */
    readonly counts = { local: 0, near: 0, far: 0, overflow: 0 };
    private readonly observations = new Map<string, ServerObservation>();
    /** Addresses of the servers that named a rate in their last report. */
    private readonly rateLimited = new Set<string>();
    private readonly views = new Map<string, ServiceLoadView>();

    private constructor(
        private readonly clock: Clock,
        private readonly random: () => number,
        private readonly onOverflowChange: (change: OverflowChange) => void,
    ) {}

    /** `onOverflowChange` is called when requests begin or cease to go to other failure domains for lack of capacity. */
    static create(
        clock: Clock,
        random: () => number = Math.random,
        onOverflowChange: (change: OverflowChange) => void = () => undefined,
    ): LoadBalancer {
        return new LoadBalancer(clock, random, onOverflowChange);
    }

    /** Chooses a server; undefined when none can be used. */
    choose(request: SelectionRequest): KnownServer | undefined {
        const { origin } = request;
        const usable = this.usableServers(request);
        if (usable.length <= 1) {
            return this.count(usable[0], origin);
        }
        const view = this.viewOf(request);
        return this.count(this.chooseLocal(usable, origin, view) ?? this.chooseByDomain(usable, origin, view), origin);
    }

    /** Chooses the first available server in an order of host addresses; undefined when none can be used. */
    chooseFirst(request: SelectionRequest, orderedAddresses: readonly string[]): KnownServer | undefined {
        const available = availableServers(request, server => this.isAvoided(server));
        const [first] = orderedAddresses.flatMap(address =>
            available.find(({ hostAddress }) => hostAddress === address) ?? []
        );
        return first;
    }

    /** Records the start of an attempt at a server. */
    start(server: KnownServer): void {
        this.observationOf(server).localInFlight++;
    }

    /** Records the end of an attempt at a server. */
    end(server: KnownServer, verdict: ServerVerdict): void {
        const observation = this.observationOf(server);
        observation.localInFlight = Math.max(0, observation.localInFlight - 1);
        if (verdict !== "neutral") {
            const failed = verdict === "failed" ? 1 : 0;
            observation.failedFraction += (failed - observation.failedFraction) * VERDICT_WEIGHT;
        }
    }

    /** Stores what the node at an address reported of the server on its host, `delayMs` ago. */
    report(hostAddress: string, report: ServerReport, delayMs = 0): void {
        const observation = this.observations.get(hostAddress);
        if (!observation) {
            return;
        }
        const nowMs = this.clock.nowMs();
        applyLoad(observation, report, nowMs - delayMs);
        observation.onwardPressure = report.onwardPressure;
        // A node of an earlier version reports none.
        observation.rateShare = report.rateShare >= 0 ? report.rateShare : 1;
        if (observation.rateShare < 1) {
            this.rateLimited.add(hostAddress);
        }
        else {
            this.rateLimited.delete(hostAddress);
        }
        observation.reportedAtMs = nowMs;
        if (observation.isDoubtful) {
            observation.isDoubtful = false;
            observation.avoidUntilMs = 0;
        }
    }

    /** Stores the load that another node was told of a server; returns whether it is later than what was known. */
    applyRelayed(server: KnownServer, report: LoadReport, ageMs: number): boolean {
        return applyLoad(this.observationOf(server), report, this.clock.nowMs() - ageMs);
    }

    /** Load of the server at an address, for other nodes; undefined if none is known. */
    knownLoad(hostAddress: string): KnownLoad | undefined {
        const observation = this.observations.get(hostAddress);
        return observation && toKnownLoad(observation, this.clock.nowMs());
    }

    /**
     * Avoids the server at an address until the node there responds again: behind a cut, whatever is sent there is lost,
     * and some requests cannot be sent again.
     */
    doubt(hostAddress: string): void {
        const observation = this.observations.get(hostAddress);
        const untilMs = this.clock.nowMs() + AVOID_WHILE_DOUBTFUL_MS;
        if (observation && observation.avoidUntilMs < untilMs) {
            observation.isDoubtful = true;
            observation.avoidUntilMs = untilMs;
        }
    }

    /** Avoids a server for a short time after it refused a request or could not be reached. */
    avoid(server: KnownServer, cause: "refusal" | "loss"): void {
        const durationMs = cause === "refusal" ? AVOID_AFTER_REFUSAL_MS : AVOID_AFTER_LOSS_MS;
        const observation = this.observationOf(server);
        observation.avoidUntilMs = this.clock.nowMs() + durationMs;
        observation.isDoubtful = false;
    }

    /** Service of the server at an address that requests were sent to or reports came of; undefined if there were none. */
    serviceAt(hostAddress: string): string | undefined {
        return this.observations.get(hostAddress)?.service;
    }

    /** Removes what is known about the server at a host, after the server has left. */
    remove(hostAddress: string): void {
        this.observations.delete(hostAddress);
        this.rateLimited.delete(hostAddress);
    }

    /** Estimated fraction of a server's slots that is in use; above 1 when requests wait. */
    utilization(server: KnownServer): number {
        return utilizationOf(this.observationOf(server), this.clock.nowMs());
    }

    /** Available servers, without those that this request is not to be sent to because of the rate that they name. */
    private usableServers(request: SelectionRequest): readonly KnownServer[] {
        const available = availableServers(request, server => this.isAvoided(server));
        if (this.rateLimited.size === 0 && request.localRateShare >= 1) {
            return available;
        }
        const shareOf = (server: KnownServer) => this.rateShareOf(server, request);
        return serversWithinRate(available, shareOf, request.avoidsRateLimited, this.random);
    }

    private isAvoided(server: KnownServer): boolean {
        return this.observationOf(server).avoidUntilMs > this.clock.nowMs();
    }

    private viewOf({ candidates, origin }: SelectionRequest): ServiceLoadView {
        const { service } = candidates[0]!;
        let view = this.views.get(service);
        if (!view) {
            view = ServiceLoadView.create(service, this.onOverflowChange);
            this.views.set(service, view);
        }
        view.refresh(candidates, origin.failureDomain, server => this.observationOf(server), this.clock.nowMs());
        return view;
    }

    /** Chooses the local server as long as it has capacity and is not clearly slower than others. */
    private chooseLocal(
        servers: readonly KnownServer[],
        { hostAddress }: BalancerOrigin,
        view: ServiceLoadView,
    ): KnownServer | undefined {
        const local = servers.find(server => server.hostAddress === hostAddress);
        return local && this.hasCapacity(local) && this.relativeTime(local, view) <= LOCAL_TIME_LIMIT ?
            local :
            undefined;
    }

    /** Chooses in the local failure domain, but for the part of the requests that does not fit there. */
    private chooseByDomain(
        servers: readonly KnownServer[],
        origin: BalancerOrigin,
        view: ServiceLoadView,
    ): KnownServer | undefined {
        const near = servers.filter(server => server.failureDomain === origin.failureDomain);
        if (near.length === 0) {
            return this.chooseBetweenTwo(servers, origin, view);
        }
        const [chosen, other] = this.pickTwo(near, origin, view);
        if (!view.hasReports || this.penalty(chosen) >= PENALTY_LIMIT) {
            return this.hasCapacity(chosen) || this.hasCapacity(other) ?
                chosen :
                this.chooseBetweenTwo(servers, origin, view);
        }
        const isSentAway = this.isSlowNow(chosen) ||
            (view.overflowFraction > 0 && this.random() < view.overflowFraction);
        return isSentAway ? this.chooseFar(servers, chosen, origin, view) ?? chosen : chosen;
    }

    /** Chooses in failure domains that have room; undefined if none is expected to respond before a nearer server. */
    private chooseFar(
        servers: readonly KnownServer[],
        nearer: KnownServer,
        origin: BalancerOrigin,
        view: ServiceLoadView,
    ): KnownServer | undefined {
        const far = servers.filter(({ failureDomain }) =>
            failureDomain !== origin.failureDomain && view.hasRoom(failureDomain)
        );
        if (far.length === 0) {
            return undefined;
        }
        const target = this.chooseBetweenTwo(far, origin, view);
        if (this.cost(target, origin, view) >= this.cost(nearer, origin, view)) {
            return undefined;
        }
        this.counts.overflow++;
        return target;
    }

    private chooseBetweenTwo(
        servers: readonly KnownServer[],
        origin: BalancerOrigin,
        view: ServiceLoadView,
    ): KnownServer {
        return this.pickTwo(servers, origin, view)[0];
    }

    /** Two random servers (power of two choices), the one with the lower cost first; the same twice if there is one. */
    private pickTwo(
        servers: readonly KnownServer[],
        origin: BalancerOrigin,
        view: ServiceLoadView,
    ): readonly [KnownServer, KnownServer] {
        if (servers.length === 1) {
            return [servers[0]!, servers[0]!];
        }
        const first = Math.floor(this.random() * servers.length);
        const step = 1 + Math.floor(this.random() * (servers.length - 1));
        const left = servers[first]!;
        const right = servers[(first + step) % servers.length]!;
        const [cheaper, other] = this.cost(left, origin, view) <= this.cost(right, origin, view) ?
            [left, right] :
            [right, left];
        return this.isProbeDue(other) ? [other, cheaper] : [cheaper, other];
    }

    /** Fraction of the requests for which a server is in the choice, by the rate that it names. */
    private rateShareOf(server: KnownServer, { origin, localRateShare }: SelectionRequest): number {
        return server.hostAddress === origin.hostAddress ?
            localRateShare :
            currentRateShare(this.observationOf(server), this.clock.nowMs());
    }

    /** Whether requests are expected to find a free slot, and the server does not fail. */
    private hasCapacity(server: KnownServer): boolean {
        return this.utilization(server) + this.penalty(server) < NEAR_UTILIZATION_LIMIT;
    }

    /** Whether a server of which there were reports gets one request, because nothing was heard of it for long. */
    private isProbeDue(server: KnownServer): boolean {
        const { loadAtMs, localInFlight } = this.observationOf(server);
        return localInFlight === 0 && loadAtMs > -Infinity && this.clock.nowMs() - loadAtMs > PROBE_AFTER_MS &&
            this.penalty(server) < PENALTY_LIMIT;
    }

    /** Whether the server states that work takes clearly longer there now. */
    private isSlowNow(server: KnownServer): boolean {
        const observation = this.observationOf(server);
        return observation.slowness > SLOW_LIMIT && momentarySlowness(observation, this.clock.nowMs()) > SLOW_LIMIT;
    }

    private relativeTime(server: KnownServer, { medianServiceMs }: ServiceLoadView): number {
        return relativeServiceTime(this.observationOf(server), medianServiceMs, this.clock.nowMs());
    }

    /** Expected time to a response, and what counts against the server beside it. */
    private cost(server: KnownServer, origin: BalancerOrigin, view: ServiceLoadView): number {
        const observation = this.observationOf(server);
        return expectedTime(observation, server.failureDomain, view, this.clock.nowMs()) +
            this.penalty(server) +
            (server.failureDomain === origin.failureDomain ? 0 : distanceCost(view));
    }

    private penalty(server: KnownServer): number {
        const nowMs = this.clock.nowMs();
        const observation = this.observationOf(server);
        const { failedFraction, onwardPressure } = observation;
        const isWarmingUp = observation.loadAtMs === -Infinity && server.warmingUpUntilMs > nowMs;
        return (isWarmingUp ? WARM_UP_COST : 0) +
            failedFraction * FAILURE_COST +
            (onwardPressure > 0 ? onwardPressure * directReportWeight(observation, nowMs) : 0);
    }

    private observationOf(server: KnownServer): ServerObservation {
        let observation = this.observations.get(server.hostAddress);
        if (!observation) {
            observation = createObservation(server, this.clock.nowMs());
            this.observations.set(server.hostAddress, observation);
        }
        return observation;
    }

    private count(chosen: KnownServer | undefined, origin: BalancerOrigin): KnownServer | undefined {
        if (chosen) {
            this.counts[placeOf(chosen, origin)]++;
        }
        return chosen;
    }
}

function placeOf(server: KnownServer, origin: BalancerOrigin): "local" | "near" | "far" {
    if (server.hostAddress === origin.hostAddress) {
        return "local";
    }
    return server.failureDomain === origin.failureDomain ? "near" : "far";
}
