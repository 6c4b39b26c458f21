/**
 * Takes one admitted request to a backend server: places it, sends it on elsewhere while that is safe, and gives up at
 * its time limit.
 */
import type { BacklogMonitor, Clock } from "@radishrouter/core";
import { RequestError } from "@radishrouter/core";
import type { ExchangeResponse } from "../connection/http-exchange.js";
import type { PeerClient } from "../connection/peer-client.js";
import type { ServerClient } from "../connection/server-client.js";
import type { DownstreamPressure } from "../process/downstream-pressure.js";
import type { DownstreamThrottle } from "../process/downstream-throttle.js";
import type { LoadBalancer, ServerVerdict } from "../process/load-balancer.js";
import type { PeerHealth } from "../process/peer-health.js";
import type { RequestLog } from "../process/request-log.js";
import type { KnownServer, ServerDirectory } from "../process/server-directory.js";
import type { ServiceRetryBudget } from "../process/service-retry-budget.js";
import { isCapacityRefusal, isServerError } from "./outcome.js";
import type { Attempt, AttemptOutcome, FailedOutcome, UnknownReason } from "./outcome.js";
import type { RelayedRequest } from "./relayed-request.js";

/** Parts that relays work with. */
export interface RelayDependencies {
    readonly clock: Clock;
    readonly backlog: BacklogMonitor;
    readonly hostAddress: string;
    readonly failureDomain: string;
    readonly directory: ServerDirectory;
    readonly balancer: LoadBalancer;
    readonly health: PeerHealth;
    readonly server: ServerClient;
    readonly peers: PeerClient;
    readonly log: RequestLog;
    readonly onwardPressure: DownstreamPressure;
    readonly throttle: DownstreamThrottle;
    readonly retryBudgetOf: (service: string) => ServiceRetryBudget;
    /** Whether the node beside the own backend server takes no new work for it. */
    readonly isLocalServerDraining: () => boolean;
}

/** Sends that did not reach a backend server cost nothing there, but each costs time. */
const MAXIMUM_PLACEMENTS = 4;
const MAXIMUM_QUEUE_REFUSALS = 2;
const RETRY_AFTER_WITHOUT_SERVER_MS = 400;
/** Time that the last message to the caller takes. */
const ANSWER_MARGIN_MS = 5;

/** One request of a caller until its final answer. */
export class Relay {
    private readonly tried = new Set<string>();
    private current: Attempt | undefined;
    private ended: UnknownReason | undefined;
    /** Sends that reached a backend server. */
    private arrivals = 0;
    private queueRefusals = 0;
    private retryAfterMs = 0;
    /** Whether a send ended without its outcome being known. */
    private mayHaveRun = false;
    /** Failure that a server answered and that no other server has replaced by something better. */
    private failedAnswer: ExchangeResponse | undefined;
    private lastReason = "no backend server is known";

    private constructor(
        private readonly parts: RelayDependencies,
        private readonly request: RelayedRequest,
        private readonly service: string,
        private readonly hasCallerLeft: () => boolean,
    ) {}

    /** `hasCallerLeft` tells whether the caller's connection has ended, also before that is announced. */
    static create(
        parts: RelayDependencies,
        request: RelayedRequest,
        service: string,
        hasCallerLeft: () => boolean,
    ): Relay {
        return new Relay(parts, request, service, hasCallerLeft);
    }

    /** Gives the request up because its caller has gone. */
    callerGone(): void {
        this.end("caller-gone");
    }

    /**
     * Resolves with the answer of a backend server.
     *
     * @throws RequestError when there is none; its execution says whether the request may have run.
     */
    async run(): Promise<ExchangeResponse> {
        const { clock } = this.parts;
        const limitMs = this.request.deadlineAtMs - clock.nowMs() - ANSWER_MARGIN_MS;
        const timer = clock.setTimer(limitMs, () => this.end("timeout"));
        try {
            return await this.runToEnd();
        }
        finally {
            timer.cancel();
        }
    }

    private async runToEnd(): Promise<ExchangeResponse> {
        this.parts.retryBudgetOf(this.service).recordRequest();
        for (let placement = 0; placement < MAXIMUM_PLACEMENTS; placement++) {
            if (placement > 0) {
                await this.readOn();
            }
            const server = this.ended === undefined ? this.place() : undefined;
            if (!server) {
                break;
            }
            const outcome = await this.send(server);
            if (outcome.kind === "answered") {
                if (!this.shouldReplace(outcome.response)) {
                    return outcome.response;
                }
                this.failedAnswer = outcome.response;
                this.noteRepeat(server, `answered ${outcome.response.status}`);
                continue;
            }
            if (!this.maySendAgain(server, outcome)) {
                break;
            }
        }
        if (this.failedAnswer && this.ended !== "caller-gone") {
            return this.failedAnswer;
        }
        throw this.failure();
    }

    /** The outcome of the last send may have been read before the end of the caller's connection. */
    private async readOn(): Promise<void> {
        if (this.parts.backlog.isReadingBacklog()) {
            await this.parts.backlog.whenCaughtUp();
        }
        if (this.hasCallerLeft()) {
            this.end("caller-gone");
        }
    }

    private place(): KnownServer | undefined {
        const { directory, balancer: placement, failureDomain, hostAddress } = this.parts;
        return placement.choose({
            origin: { failureDomain, hostAddress },
            candidates: directory.readyServers(this.service),
            tried: this.tried,
            isReachable: server => this.isReachable(server),
        });
    }

    private isReachable(server: KnownServer): boolean {
        if (server.hostAddress === this.parts.hostAddress) {
            return !this.parts.isLocalServerDraining();
        }
        return this.parts.health.troubleOf(server.hostAddress) === undefined;
    }

    private async send(server: KnownServer): Promise<AttemptOutcome> {
        const { balancer: placement } = this.parts;
        this.tried.add(server.instance);
        placement.start(server);
        this.current = this.startSend(server);
        const { outcome, onwardPressure } = await this.current.result;
        this.current = undefined;
        this.recordPressure(server, outcome, onwardPressure);
        placement.end(server, verdictOf(outcome));
        this.recordOutcome(server, outcome);
        return outcome;
    }

    private startSend(server: KnownServer): Attempt {
        const { request, parts } = this;
        if (server.hostAddress !== parts.hostAddress) {
            return parts.peers.send(server, request);
        }
        const serverRequest = {
            content: request.content,
            service: server.service,
            instance: server.instance,
            deadlineAtMs: request.deadlineAtMs,
            softDeadlineAtMs: request.softDeadlineAtMs,
        };
        return parts.server.send(serverRequest, () => this.hasCallerLeft());
    }

    private recordPressure(server: KnownServer, outcome: AttemptOutcome, onwardPressure: number | undefined): void {
        if (this.ended === "caller-gone") {
            return;
        }
        const pressure = isCapacityRefusal(outcome) ? 1 : onwardPressure ?? 0;
        if (this.request.content.isOnwardCall) {
            this.parts.onwardPressure.record(pressure);
        }
        else if (onwardPressure !== undefined) {
            this.parts.throttle.record(server.service, onwardPressure);
        }
    }

    private recordOutcome(server: KnownServer, outcome: AttemptOutcome): void {
        switch (outcome.kind) {
            case "answered":
                this.arrivals++;
                return;
            case "not-run":
                this.arrivals += outcome.reached ? 1 : 0;
                this.queueRefusals += outcome.reason === "queue-too-long" ? 1 : 0;
                this.retryAfterMs = Math.max(this.retryAfterMs, outcome.retryAfterMs);
                this.lastReason = outcome.reason;
                this.parts.balancer.avoid(server, outcome.reason === "not-connected" ? "loss" : "refusal");
                return;
            case "unknown":
                this.arrivals++;
                this.mayHaveRun = true;
                this.lastReason = `${outcome.reason}: ${outcome.detail}`;
                return;
        }
    }

    /** Whether a failure that the server answered is better replaced by a try at another server. */
    private shouldReplace(response: ExchangeResponse): boolean {
        return isServerError(response) && this.request.route.idempotent && this.mayRepeat();
    }

    private maySendAgain(server: KnownServer, outcome: FailedOutcome): boolean {
        if (this.ended !== undefined) {
            return false;
        }
        const isAllowed = outcome.kind === "not-run" ?
            this.mayPlaceAgain(outcome.reached) :
            this.request.route.idempotent && this.mayRepeat();
        if (isAllowed) {
            this.noteRepeat(server, this.lastReason);
        }
        return isAllowed;
    }

    private mayPlaceAgain(reached: boolean): boolean {
        return reached ? this.mayRepeat() : this.queueRefusals < MAXIMUM_QUEUE_REFUSALS;
    }

    private mayRepeat(): boolean {
        return this.ended === undefined && this.arrivals < this.request.route.maximumAttempts &&
            this.parts.retryBudgetOf(this.service).tryTake();
    }

    private noteRepeat(server: KnownServer, cause: string): void {
        this.parts.log.decision("request-sent-again", {
            request: this.request.content.id,
            route: this.request.route.name,
            service: this.service,
            failedAt: server.instance,
            cause,
            arrivals: this.arrivals,
        });
    }

    private end(reason: UnknownReason): void {
        this.ended ??= reason;
        this.current?.abort(reason);
    }

    private failure(): RequestError {
        const detail = `${this.service}: ${this.lastReason}`;
        if (this.ended === "caller-gone") {
            return RequestError.create("caller-gone", { detail });
        }
        if (this.mayHaveRun) {
            const name = this.ended === "timeout" ? "deadline-exceeded" : "backend-connection-lost";
            return RequestError.create(name, { detail });
        }
        const retryAfterMs = this.retryAfterMs || RETRY_AFTER_WITHOUT_SERVER_MS;
        if (this.queueRefusals > 0) {
            return RequestError.create("overloaded", { detail, retryAfterMs });
        }
        const name = this.arrivals > 0 ? "retries-exhausted" : "no-backend-server";
        return RequestError.create(name, { detail, retryAfterMs });
    }
}

function verdictOf(outcome: AttemptOutcome): ServerVerdict {
    switch (outcome.kind) {
        case "answered":
            return isServerError(outcome.response) ? "failed" : "served";
        case "not-run":
            return outcome.reached ? "failed" : "neutral";
        case "unknown":
            return outcome.reason === "caller-gone" ? "neutral" : "failed";
    }
}
