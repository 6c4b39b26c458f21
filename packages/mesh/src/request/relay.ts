/**
 * Relays one admitted request to a backend server: chooses the server, retries at other servers while that is safe, and
 * gives up at the request's deadline.
 */
import type { BacklogMonitor, Clock } from "@radishrouter/core";
import { RequestError } from "@radishrouter/core";
import type { ExchangeResponse } from "../connection/http-exchange.js";
import type { PeerClient } from "../connection/peer-client.js";
import type { ServerClient } from "../connection/server-client.js";
import { entryPressureOf, greatestExcess } from "../process/capacity-meter.js";
import type { CrashingRequests } from "../process/crashing-requests.js";
import type { EvacuatedDomains } from "../process/evacuated-domains.js";
import type { LoadBalancer, ServerVerdict } from "../process/load-balancer.js";
import type { CallPressure, OverloadSignal, RequestThrottle } from "../process/overload-signal.js";
import type { PeerHealth } from "../process/peer-health.js";
import type { RequestLog } from "../process/request-log.js";
import type { RetryLoans } from "../process/retry-loans.js";
import type { SelectionRequest } from "../process/server-availability.js";
import type { KnownServer, ServerDirectory } from "../process/server-directory.js";
import type { ServiceRetryBudget } from "../process/service-retry-budget.js";
import { isCapacityRefusal, isServerError } from "./outcome.js";
import type { Attempt, AttemptOutcome, AttemptResult, FailedOutcome, NotRunReason, UnknownReason } from "./outcome.js";
import type { RelayedRequest } from "./relayed-request.js";

/** Components that relays use. */
export interface RelayDependencies {
    readonly clock: Clock;
    readonly backlog: BacklogMonitor;
    readonly hostAddress: string;
    readonly failureDomain: string;
    readonly directory: ServerDirectory;
    readonly evacuations: Pick<EvacuatedDomains, "retryAfterMs">;
    readonly balancer: LoadBalancer;
    readonly health: PeerHealth;
    readonly server: ServerClient;
    readonly peers: PeerClient;
    readonly log: RequestLog;
    readonly onwardPressure: CallPressure;
    readonly crashing: CrashingRequests;
    readonly throttle: RequestThrottle;
    readonly overloadSignal: OverloadSignal;
    readonly retryBudgetOf: (service: string) => ServiceRetryBudget;
    readonly retryLoans: Pick<RetryLoans, "take">;
    /** Fraction of their requests that nodes should send to the local backend server; 1 if it names no rate. */
    readonly localRateShare: () => number;
    /** Whether the local backend server is draining and gets no new requests from this node. */
    readonly isLocalServerDraining: () => boolean;
}

/**
 * Servers that are tried for one request. An attempt that does not reach its server consumes no capacity there and is
 * not counted as an arrival, but takes time.
 */
const MAXIMUM_SERVERS_TRIED = 4;
/** Attempts that may be refused because of a long queue before the request is refused. */
const MAXIMUM_QUEUE_REFUSALS = 2;
const RETRY_AFTER_WITHOUT_SERVER_MS = 400;
/** The request would be refused again for as long as it keeps coming. */
const RETRY_AFTER_QUARANTINE_MS = 60_000;
/** Time before the deadline that is left for sending the response to the caller. */
const RESPONSE_MARGIN_MS = 5;

/** Relays one request of a caller until its final response. */
export class Relay {
    private readonly tried = new Set<string>();
    private currentAttempt: Attempt | undefined;
    /** Why the request was given up; undefined while it is not. */
    private endReason: UnknownReason | undefined;
    /** Attempts that reached a backend server. */
    private arrivals = 0;
    private queueRefusals = 0;
    /** Attempts that were refused for the rate that a server names; they cost it nothing. */
    private rateRefusals = 0;
    /** Whether the request may end backend servers; it runs alone then, at one of them. */
    private isSuspect = false;
    /** Whether a node refused the request because it ends backend servers. */
    private isQuarantined = false;
    /** Whether a server ended while the request ran there alone; it is not sent to another one before all nodes know. */
    private hasFailedTrial = false;
    private retryAfterMs = 0;
    /** Whether it is unknown for some attempt if the backend server ran the request. */
    private mayHaveRun = false;
    /** Server error that is returned to the caller unless a retry at another server succeeds. */
    private serverErrorResponse: ExchangeResponse | undefined;
    private lastReason = "no backend server is known";
    /** Pressure that the latest attempt showed; undefined before the first. */
    private pressure: number | undefined;

    private constructor(
        private readonly dependencies: RelayDependencies,
        private readonly request: RelayedRequest,
        private readonly service: string,
        private readonly hasCallerDisconnected: () => boolean,
    ) {}

    /** `hasCallerDisconnected` reports whether the caller's connection has ended, even before the relay is notified. */
    static create(
        dependencies: RelayDependencies,
        request: RelayedRequest,
        service: string,
        hasCallerDisconnected: () => boolean,
    ): Relay {
        return new Relay(dependencies, request, service, hasCallerDisconnected);
    }

    /** Gives the request up because its caller has disconnected. */
    onCallerDisconnected(): void {
        this.end("caller-gone");
    }

    /**
     * Resolves with the response of a backend server.
     *
     * @throws RequestError when there is none; its `execution` states whether the request may have run.
     */
    async run(): Promise<ExchangeResponse> {
        const { clock } = this.dependencies;
        const limitMs = this.request.deadlineAtMs - clock.nowMs() - RESPONSE_MARGIN_MS;
        const timer = clock.setTimer(limitMs, () => this.end("timeout"));
        try {
            return await this.tryServers();
        }
        finally {
            timer.cancel();
            this.recordCallPressure();
        }
    }

    private async tryServers(): Promise<ExchangeResponse> {
        this.applySuspicion();
        this.dependencies.retryBudgetOf(this.service).recordRequest();
        for (let attempt = 0; attempt < MAXIMUM_SERVERS_TRIED; attempt++) {
            if (attempt > 0) {
                await this.waitForBacklog();
            }
            const server = this.endReason === undefined ? this.chooseServer() : undefined;
            if (!server) {
                break;
            }
            const outcome = await this.attempt(server);
            if (outcome.kind === "answered") {
                if (!await this.shouldReplace(outcome.response)) {
                    return outcome.response;
                }
                this.serverErrorResponse = outcome.response;
                this.logRetry(server, `answered ${outcome.response.status}`);
                continue;
            }
            if (!await this.mayRetryAfter(server, outcome)) {
                break;
            }
        }
        if (this.serverErrorResponse && this.endReason !== "caller-gone") {
            return this.serverErrorResponse;
        }
        throw this.createError();
    }

    /**
     * Waits until the input backlog has been read and gives up if the caller has disconnected. After the event loop was
     * blocked, the outcome of the last attempt may be read before the end of the caller's connection.
     */
    private async waitForBacklog(): Promise<void> {
        if (this.dependencies.backlog.isReadingBacklog()) {
            await this.dependencies.backlog.whenCaughtUp();
        }
        if (this.hasCallerDisconnected()) {
            this.end("caller-gone");
        }
    }

    private applySuspicion(): void {
        const suspicion = this.dependencies.crashing.suspicionAtEntry(this.service, this.request.content);
        switch (suspicion) {
            case "none":
                return;
            case "suspect":
                this.isSuspect = true;
                return;
            case "quarantined":
                throw this.createQuarantineError();
        }
    }

    /** Chooses by load; for all copies of a suspect the same server, so that it ends one server at a time. */
    private chooseServer(): KnownServer | undefined {
        const { balancer } = this.dependencies;
        return this.isSuspect ?
            balancer.chooseFirst(this.createSelection(), this.trialAddresses()) :
            balancer.choose(this.createSelection());
    }

    private trialAddresses(): string[] {
        const { crashing } = this.dependencies;
        return crashing.trialAddresses(this.service, crashing.fingerprintOf(this.request.content));
    }

    private createSelection(): SelectionRequest {
        const { directory, failureDomain, hostAddress } = this.dependencies;
        return {
            origin: { failureDomain, hostAddress },
            candidates: directory.readyServers(this.service),
            tried: this.tried,
            localRateShare: this.dependencies.localRateShare(),
            avoidsRateLimited: this.rateRefusals > 0,
            isReachable: server => this.isReachable(server),
        };
    }

    private isReachable(server: KnownServer): boolean {
        if (server.hostAddress === this.dependencies.hostAddress) {
            return !this.dependencies.isLocalServerDraining();
        }
        return this.dependencies.health.isUsable(server.hostAddress);
    }

    private async attempt(server: KnownServer): Promise<AttemptOutcome> {
        const { balancer } = this.dependencies;
        this.tried.add(server.instance);
        balancer.start(server);
        this.currentAttempt = this.startAttempt(server);
        const result = await this.currentAttempt.result;
        const { outcome } = result;
        this.currentAttempt = undefined;
        this.recordPressure(server, result);
        balancer.end(server, verdictOf(outcome));
        this.recordOutcome(server, outcome);
        return outcome;
    }

    private startAttempt(server: KnownServer): Attempt {
        const { request, dependencies } = this;
        if (server.hostAddress !== dependencies.hostAddress) {
            return dependencies.peers.send(server, request, this.isSuspect);
        }
        const serverRequest = {
            content: request.content,
            service: server.service,
            instance: server.instance,
            isTrial: this.isSuspect,
            deadlineAtMs: request.deadlineAtMs,
            softDeadlineAtMs: request.softDeadlineAtMs,
        };
        return dependencies.server.send(serverRequest, () => this.hasCallerDisconnected());
    }

    private recordPressure(server: KnownServer, result: AttemptResult): void {
        switch (this.dependencies.overloadSignal) {
            case "refusals":
                this.recordRefusals(server, result);
                return;
            case "excess":
                this.recordExcess(server, result);
                return;
        }
    }

    /** Records each attempt, for the throttle with the refusals that the other node reported. */
    private recordRefusals(server: KnownServer, { outcome, onwardPressure }: AttemptResult): void {
        const { onwardPressure: ownPressure, throttle } = this.dependencies;
        if (this.endReason === "caller-gone") {
            return;
        }
        if (this.request.content.isOnwardCall) {
            ownPressure.record(isCapacityRefusal(outcome) ? 1 : onwardPressure ?? 0, this.service);
        }
        else if (onwardPressure !== undefined) {
            throttle.record(server.service, onwardPressure);
        }
    }

    /** Notes what an attempt showed. What other nodes report for the throttle is recorded with each of their states. */
    private recordExcess(server: KnownServer, { outcome, onwardPressure = 0, excess }: AttemptResult): void {
        this.pressure = isCapacityRefusal(outcome) ? 1 : Math.max(onwardPressure, greatestExcess(excess));
        const isLocal = server.hostAddress === this.dependencies.hostAddress;
        if (isLocal && !this.request.content.isOnwardCall && this.endReason !== "caller-gone") {
            this.dependencies.throttle.record(server.service, entryPressureOf({ onwardPressure, excess }));
        }
    }

    /**
     * Records a downstream call once, by its latest attempt: a call that another server took was not refused. A call that
     * ended at its deadline was; one whose caller has disconnected says nothing.
     */
    private recordCallPressure(): void {
        if (!this.request.content.isOnwardCall || this.pressure === undefined || this.endReason === "caller-gone") {
            return;
        }
        this.dependencies.onwardPressure.record(this.endReason === "timeout" ? 1 : this.pressure, this.service);
    }

    private recordOutcome(server: KnownServer, outcome: AttemptOutcome): void {
        switch (outcome.kind) {
            case "answered":
                this.arrivals++;
                return;
            case "not-run":
                this.arrivals += outcome.reached ? 1 : 0;
                this.queueRefusals += outcome.reason === "queue-too-long" ? 1 : 0;
                this.rateRefusals += outcome.reason === "over-server-rate" ? 1 : 0;
                this.retryAfterMs = Math.max(this.retryAfterMs, outcome.retryAfterMs);
                this.lastReason = outcome.reason;
                this.recordRefusal(server, outcome.reason);
                return;
            case "unknown":
                this.arrivals++;
                this.mayHaveRun = true;
                this.recordEnd(server, outcome.reason);
                this.lastReason = `${outcome.reason}: ${outcome.detail}`;
                return;
        }
    }

    private recordEnd(server: KnownServer, reason: UnknownReason): void {
        if (reason === "server-ended" || reason === "server-ended-in-trial") {
            this.dependencies.balancer.avoid(server, "loss");
            this.hasFailedTrial = this.isSuspect || reason === "server-ended-in-trial";
            this.isSuspect = true;
        }
    }

    private recordRefusal(server: KnownServer, reason: NotRunReason): void {
        const { balancer, crashing } = this.dependencies;
        switch (reason) {
            case "suspected":
                this.isSuspect = true;
                return;
            case "quarantined":
                this.isQuarantined = true;
                crashing.rememberRefusal(this.request.content);
                return;
            case "not-connected":
                balancer.avoid(server, "loss");
                return;
            case "evacuated":
                balancer.avoid(server, "refusal");
                this.excludeFailureDomain(server);
                return;
            default:
                balancer.avoid(server, "refusal");
                return;
        }
    }

    /** The node on a server's host may learn of an evacuation first; the request then needs no further refusals. */
    private excludeFailureDomain({ failureDomain }: KnownServer): void {
        this.dependencies.directory.readyServers(this.service)
            .filter(server => server.failureDomain === failureDomain)
            .forEach(({ instance }) => this.tried.add(instance));
    }

    /** Whether a server error is to be replaced by a retry at another server; takes the retry from the budget if so. */
    private async shouldReplace(response: ExchangeResponse): Promise<boolean> {
        return isServerError(response) && this.request.route.idempotent && await this.tryTakeRetry();
    }

    /** Whether the request may be sent to another server after a failed attempt; logs the retry if so. */
    private async mayRetryAfter(server: KnownServer, outcome: FailedOutcome): Promise<boolean> {
        if (this.endReason !== undefined || this.isQuarantined || this.hasFailedTrial) {
            return false;
        }
        const isAllowed = outcome.kind === "not-run" ?
            await this.mayTryAnotherServer(outcome.reached) :
            this.request.route.idempotent && await this.tryTakeRetry();
        if (isAllowed) {
            this.logRetry(server, this.lastReason);
        }
        return isAllowed;
    }

    private async mayTryAnotherServer(reached: boolean): Promise<boolean> {
        return reached ? await this.tryTakeRetry() : this.queueRefusals < MAXIMUM_QUEUE_REFUSALS;
    }

    /** Takes a retry, of another node if need be; false when none is left or the route allows no more attempts. */
    private async tryTakeRetry(): Promise<boolean> {
        if (this.endReason !== undefined || this.arrivals >= this.request.route.maximumAttempts) {
            return false;
        }
        const hasTaken = await this.dependencies.retryLoans.take(this.service);
        if (hasTaken && this.hasEnded()) {
            this.dependencies.retryBudgetOf(this.service).receive(1, 0);
            return false;
        }
        return hasTaken;
    }

    /** Whether the request was given up, which may happen during each wait. */
    private hasEnded(): boolean {
        return this.endReason !== undefined;
    }

    private logRetry(server: KnownServer, cause: string): void {
        this.dependencies.log.decision("request-sent-again", {
            request: this.request.content.id,
            route: this.request.route.name,
            service: this.service,
            failedAt: server.instance,
            cause,
            arrivals: this.arrivals,
        });
    }

    private end(reason: UnknownReason): void {
        this.endReason ??= reason;
        this.currentAttempt?.abort(reason);
    }

    private createQuarantineError(): RequestError {
        const { crashing, log } = this.dependencies;
        const fingerprint = crashing.fingerprintOf(this.request.content);
        log.decision("request-quarantined", {
            request: this.request.content.id,
            service: this.service,
            fingerprint,
        });
        return RequestError.create("request-quarantined", {
            detail: `${this.service}: fingerprint ${fingerprint}`,
            retryAfterMs: RETRY_AFTER_QUARANTINE_MS,
        });
    }

    /** Time after which servers may be back of which all are evacuated; undefined if that is not so. */
    private evacuationRetryAfterMs(): number | undefined {
        const { directory, evacuations } = this.dependencies;
        return directory.readyServers(this.service).length > 0 ?
            undefined :
            evacuations.retryAfterMs(directory.evacuatedDomainsOf(this.service));
    }

    private createError(): RequestError {
        const detail = `${this.service}: ${this.lastReason}`;
        if (this.endReason === "caller-gone") {
            return RequestError.create("caller-gone", { detail });
        }
        if (this.mayHaveRun) {
            const name = this.endReason === "timeout" ? "deadline-exceeded" : "backend-connection-lost";
            return RequestError.create(name, { detail });
        }
        if (this.isQuarantined) {
            return this.createQuarantineError();
        }
        const retryAfterMs = this.retryAfterMs || this.evacuationRetryAfterMs() || RETRY_AFTER_WITHOUT_SERVER_MS;
        if (this.queueRefusals + this.rateRefusals > 0) {
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
