/**
 * HTTP server for callers and for the backend server on this host. For each request it finds the route, authenticates
 * the key, checks the rate and the deadline, relays the request and sends the response.
 */
import type { BacklogMonitor, Clock } from "@radishrouter/core";
import { RequestError } from "@radishrouter/core";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { RETRY_AFTER_NO_ROOM_MS } from "../process/body-budget.js";
import type { BodyBudget, BodyReservation } from "../process/body-budget.js";
import type { LifeCycle } from "../process/life-cycle.js";
import type { MeshMetrics } from "../process/mesh-metrics.js";
import { toUsageOutcome } from "../process/organisation-usage-counters.js";
import type { OrganisationUsageCounters } from "../process/organisation-usage-counters.js";
import { weightOfRate } from "../process/organisation-weight.js";
import type { RequestLog } from "../process/request-log.js";
import { HeaderFilter } from "../request/header-filter.js";
import type { HeaderNames } from "../request/header-names.js";
import { isServerError } from "../request/outcome.js";
import { Relay } from "../request/relay.js";
import type { RelayDependencies } from "../request/relay.js";
import type { RelayedRequest } from "../request/relayed-request.js";
import { priorityOf } from "../request/request-admission.js";
import type { AdmittedRequest, RequestAdmission } from "../request/request-admission.js";
import type { ConfigurationLease } from "../version/configuration-lease.js";
import type { IndexedConfiguration } from "../version/indexed-configuration.js";
import type { Organisation, Route } from "../version/mesh-configuration.js";
import { ChunkedBodies, EarlyBody } from "./early-body.js";
import type { ExchangeResponse } from "./http-exchange.js";
import { guardedServerOptions, ListenerGuard } from "./listener-guard.js";
import type { ListenerGuardOptions } from "./listener-guard.js";
import { readBody } from "./request-body.js";

/** Collaborators and settings of the server for callers. */
export interface CallerServerDependencies {
    readonly clock: Clock;
    readonly backlog: BacklogMonitor;
    readonly version: () => IndexedConfiguration | undefined;
    readonly lease: ConfigurationLease;
    readonly admission: RequestAdmission;
    readonly relay: RelayDependencies;
    readonly headerNames: HeaderNames;
    /** Service of the backend server on this host. */
    readonly localService: string;
    readonly log: RequestLog;
    readonly metrics: MeshMetrics;
    readonly usageCounters: OrganisationUsageCounters;
    readonly lifeCycle: LifeCycle;
    readonly bodyBudget: BodyBudget;
    /** Limits of the connections and requests of the listener. */
    readonly guard: ListenerGuardOptions;
}

/** What all requests of one server share. */
interface SharedParts {
    readonly chunkedBodies: ChunkedBodies;
    /** Also drops headers that nodes set themselves or that backend servers must not see. */
    readonly requests: HeaderFilter;
    readonly answers: HeaderFilter;
}

const MAXIMUM_HEADER_BYTES = 65_536;
const SECOND_MS = 1000;
/** Time in which a process whose event loop was blocked reads its input backlog. */
const RETRY_AFTER_BACKLOG_MS = 100;
const MAXIMUM_DEADLINE_MS = 600_000;
const RETRY_AFTER_DECIMALS = 3;
/** Callers reuse a connection until shortly before the idle timeout, so it is closed this much after the timeout. */
const IDLE_TIMEOUT_MARGIN_MS = 1_000;
/** Idle timeout until a configuration sets a longer one. */
const INITIAL_IDLE_TIMEOUT_MS = 60_000;

/** Creates the server for callers on this host. */
export function createCallerServer(dependencies: CallerServerDependencies): Server {
    const { key, deadline, organisation, callerService, expectedInstance } = dependencies.headerNames;
    const shared: SharedParts = {
        chunkedBodies: ChunkedBodies.create(),
        requests: HeaderFilter.create(new Set([key, deadline, organisation, callerService, expectedInstance])),
        answers: HeaderFilter.create(),
    };
    const options = {
        ...guardedServerOptions(dependencies.guard.limits),
        maxHeaderSize: MAXIMUM_HEADER_BYTES,
        noDelay: true,
    };
    const server = createServer(options, (request, response) => {
        if (guard.admit(request, response)) {
            void new CallerExchange(dependencies, shared, guard, request, response).serve();
        }
    });
    const guard = ListenerGuard.attach(server, dependencies.guard);
    server.on("connection", socket => dependencies.backlog.recordAccepted(socket));
    server.keepAliveTimeout = INITIAL_IDLE_TIMEOUT_MS;
    return server;
}

/** Applies the published idle timeout, but never a shorter one: connections that are idle now keep the longer one. */
export function applyIdleTimeout(server: Server, idleTimeoutMs: number): void {
    server.keepAliveTimeout = Math.max(server.keepAliveTimeout, idleTimeoutMs + IDLE_TIMEOUT_MARGIN_MS);
}

/** One request of a caller. */
class CallerExchange {
    private readonly startedAtMs: number;
    /** Earliest time at which the request can have arrived; the caller's deadline counts from then. */
    private readonly earliestArrivalMs: number;
    private readonly id: string;
    private route: Route | undefined;
    /** Name of the authenticated organisation; empty if there is none. */
    private organisation = "";
    private relay: Relay | undefined;
    private readonly bodyReservation: BodyReservation;
    private readonly earlyBody: EarlyBody | undefined;
    private isCallerDisconnected = false;

    constructor(
        private readonly dependencies: CallerServerDependencies,
        private readonly shared: SharedParts,
        private readonly guard: ListenerGuard,
        private readonly request: IncomingMessage,
        private readonly response: ServerResponse,
    ) {
        this.startedAtMs = dependencies.clock.nowMs();
        this.bodyReservation = dependencies.bodyBudget.open();
        this.earlyBody = EarlyBody.begin(
            request,
            this.bodyReservation,
            shared.chunkedBodies,
            () => guard.close(request.socket, "tiny-chunks"),
        );
        this.earliestArrivalMs = dependencies.backlog.earliestArrivalMs(request.socket);
        const id = request.headers[dependencies.headerNames.attemptId];
        this.id = typeof id === "string" ? id : "";
    }

    /** Serves the request; never rejects. */
    async serve(): Promise<void> {
        this.dependencies.lifeCycle.begin();
        this.response.once("close", () => {
            this.dependencies.lifeCycle.end();
            this.bodyReservation.release();
            if (!this.response.writableFinished) {
                this.isCallerDisconnected = true;
                this.relay?.onCallerDisconnected();
            }
        });
        try {
            await this.waitForInputBacklog();
            const { admission } = this.dependencies;
            const { host, [this.dependencies.headerNames.key]: key } = this.request.headers;
            const routed = admission.findRoute(host ?? "", this.request.url ?? "");
            this.route = routed.route;
            const authenticated = admission.authenticate(routed, typeof key === "string" ? key : undefined);
            this.organisation = authenticated.organisation?.name ?? "";
            const deadlineAtMs = this.findDeadlineAtMs(authenticated.route);
            this.throwIfDeadlinePassed(deadlineAtMs);
            const admitted = await admission.admit(authenticated);
            this.sendResponse(await this.readAndRelay(admitted, deadlineAtMs));
        }
        catch (error) {
            this.sendFailure(error);
        }
    }

    private async readAndRelay(admitted: AdmittedRequest, deadlineAtMs: number): Promise<ExchangeResponse> {
        const { dependencies } = this;
        const { maximumBodyBytes } = admitted.version.configuration.limits;
        const { clock, limits, stalled } = dependencies.guard;
        const body = await readBody(this.request, maximumBodyBytes, this.bodyReservation, {
            early: this.earlyBody,
            pace: { clock, limits, stalled, deadlineAtMs },
        });
        switch (body.kind) {
            case "too-large":
                throw RequestError.create("body-too-large");
            case "no-room":
                throw RequestError.create("overloaded", {
                    detail: "the bodies of requests take all memory that is meant for them",
                    retryAfterMs: RETRY_AFTER_NO_ROOM_MS * (1 + Math.random()),
                });
            case "too-slow":
                dependencies.guard.onLimit("slow-body");
                throw RequestError.create("sender-too-slow");
            case "aborted":
                throw RequestError.create("caller-gone", { execution: "not-run" });
            case "whole": {
                const relayedRequest = this.createRelayedRequest(admitted, body.body, deadlineAtMs);
                // Requesting tokens from other hosts and reading the body may have taken time.
                await this.waitForInputBacklog();
                this.throwIfDeadlinePassed(deadlineAtMs);
                this.relay = Relay.create(
                    dependencies.relay,
                    relayedRequest,
                    admitted.service,
                    () => this.hasCallerDisconnected(),
                );
                return await this.relay.run();
            }
        }
    }

    /** Waits until the input backlog is read: it may hold the end of the caller's connection behind the request. */
    private async waitForInputBacklog(): Promise<void> {
        const { backlog } = this.dependencies;
        if (backlog.isReadingBacklog() || backlog.isNewlyAccepted(this.request.socket)) {
            await backlog.whenCaughtUp();
        }
        this.throwIfCallerDisconnected();
    }

    /** Whether the caller has closed its connection, as far as this process has read its input. */
    private hasCallerDisconnected(): boolean {
        const { socket } = this.request;
        return this.isCallerDisconnected || socket.destroyed || socket.readableEnded;
    }

    private throwIfCallerDisconnected(): void {
        if (this.hasCallerDisconnected()) {
            throw RequestError.create("caller-gone", { execution: "not-run" });
        }
    }

    /** Rejects a request whose deadline passed while it waited in the input backlog or was being read. */
    private throwIfDeadlinePassed(deadlineAtMs: number): void {
        if (deadlineAtMs <= this.dependencies.clock.nowMs()) {
            throw RequestError.create("deadline-too-near", { retryAfterMs: RETRY_AFTER_BACKLOG_MS });
        }
    }

    private findDeadlineAtMs(route: Route): number {
        return this.earliestArrivalMs + Math.min(this.readDeadlineMs(), route.timeoutMs);
    }

    private createRelayedRequest(
        admitted: AdmittedRequest,
        body: Buffer | undefined,
        deadlineAtMs: number,
    ): RelayedRequest {
        const { route, organisation, isOnwardCall } = admitted;
        const objectiveAtMs = this.startedAtMs + route.latencyObjectiveMs;
        const content = {
            id: this.id,
            method: this.request.method ?? "GET",
            target: this.request.url ?? "/",
            headers: this.createHeaders(organisation),
            body,
            routeName: route.name,
            priority: priorityOf(admitted),
            isOnwardCall,
            ...(organisation && { organisation: organisation.name, weight: weightOfRate(organisation.ratePerSecond) }),
        };
        return {
            content,
            route,
            deadlineAtMs,
            softDeadlineAtMs: isOnwardCall ? deadlineAtMs : Math.min(deadlineAtMs, objectiveAtMs),
        };
    }

    private readDeadlineMs(): number {
        const value = this.request.headers[this.dependencies.headerNames.deadline];
        const milliseconds = typeof value === "string" ? Number(value) : NaN;
        return milliseconds >= 0 ? Math.min(milliseconds, MAXIMUM_DEADLINE_MS) : MAXIMUM_DEADLINE_MS;
    }

    /** Headers for the backend server; headers that nodes set replace those that a caller sent under the same names. */
    private createHeaders(organisation: Organisation | undefined): string[] {
        const { headerNames, localService } = this.dependencies;
        const headers = this.shared.requests.filter(this.request.rawHeaders);
        headers.push(headerNames.callerService, localService);
        if (organisation) {
            headers.push(headerNames.organisation, organisation.name);
        }
        return headers;
    }

    private sendResponse(serverResponse: ExchangeResponse): void {
        const { dependencies, response } = this;
        const elapsedMs = dependencies.clock.nowMs() - this.startedAtMs;
        dependencies.metrics.recordResponse(this.route?.name ?? "", serverResponse.status, elapsedMs);
        dependencies.usageCounters.record(
            this.organisation,
            isServerError(serverResponse) ? "failedByServer" : "answered",
        );
        if (isServerError(serverResponse)) {
            this.logOutcome("request-failed-by-server", { status: serverResponse.status });
        }
        else {
            dependencies.log.served({
                request: this.id,
                route: this.route?.name,
                status: serverResponse.status,
                elapsedMs,
            });
        }
        this.bodyReservation.release();
        if (this.isCallerDisconnected || !this.guard.holdResponse(response, serverResponse.body.length)) {
            return;
        }
        const headers = this.shared.answers.filter(serverResponse.headers.fields);
        headers.push("content-length", String(serverResponse.body.length));
        this.addCloseHeaderIfStopping(headers);
        response.writeHead(serverResponse.status, headers);
        response.end(serverResponse.body);
    }

    private sendFailure(error: unknown): void {
        const { dependencies, response } = this;
        const failure = toRequestError(error);
        dependencies.metrics.recordFailure(this.route?.name ?? "", failure.result.name);
        const outcome = toUsageOutcome(failure);
        if (outcome) {
            dependencies.usageCounters.record(this.organisation, outcome);
        }
        this.logOutcome("request-ended", {
            result: failure.result.name,
            code: failure.result.code,
            execution: failure.execution,
            detail: failure.message,
            retryAfterMs: failure.retryAfterMs === undefined ? undefined : Math.round(failure.retryAfterMs),
        });
        if (this.isCallerDisconnected || response.headersSent) {
            return;
        }
        const headers = ["content-type", "application/json"];
        if (failure.retryAfterMs !== undefined && failure.execution === "not-run") {
            headers.push("retry-after", (failure.retryAfterMs / SECOND_MS).toFixed(RETRY_AFTER_DECIMALS));
        }
        const body = JSON.stringify({ code: failure.result.code, result: failure.result.name });
        headers.push("content-length", String(Buffer.byteLength(body)));
        if (!this.request.complete) {
            this.earlyBody?.discard();
            headers.push("connection", "close");
        }
        else {
            this.addCloseHeaderIfStopping(headers);
        }
        response.writeHead(httpStatusOf(failure), headers);
        response.end(body);
    }

    private addCloseHeaderIfStopping(headers: string[]): void {
        if (this.dependencies.lifeCycle.isStopping) {
            headers.push("connection", "close");
        }
    }

    private logOutcome(event: string, fields: Readonly<Record<string, string | number | undefined>>): void {
        const { dependencies, route } = this;
        dependencies.log.decision(event, {
            request: this.id,
            route: route?.name,
            version: dependencies.version()?.configuration.version,
            proofAgeMs: Math.round(Math.min(dependencies.lease.ageMs(), Number.MAX_SAFE_INTEGER)),
            unreadMs: Math.round(this.startedAtMs - this.earliestArrivalMs),
            elapsedMs: Math.round(dependencies.clock.nowMs() - this.startedAtMs),
            ...fields,
        });
    }
}

function toRequestError(error: unknown): RequestError {
    return error instanceof RequestError ? error : RequestError.create("internal-error", { detail: String(error) });
}

/**
 * HTTP status of a failed request. The status for a disconnected caller is replaced by 504. A status that says "not
 * run" is used only if that is certain.
 */
function httpStatusOf(failure: RequestError): number {
    const { httpStatus } = failure.result;
    const CALLER_DISCONNECTED_STATUS = 499;
    return httpStatus === CALLER_DISCONNECTED_STATUS ? 504 : httpStatus;
}
