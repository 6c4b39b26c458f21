/**
 * Requests of callers and of the backend server on this host: which route, whose key, within which rate, until when.
 */
import type { BacklogMonitor, Clock } from "@radishrouter/core";
import { RequestError } from "@radishrouter/core";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { LifeCycle } from "../process/life-cycle.js";
import type { MeshMetrics } from "../process/mesh-metrics.js";
import { toUsageOutcome } from "../process/organisation-usage-counters.js";
import type { OrganisationUsageCounters } from "../process/organisation-usage-counters.js";
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
import type { ExchangeResponse } from "./http-exchange.js";
import { readBody } from "./request-body.js";

/** Parts that the listener works with. */
export interface CallerServerParts {
    readonly clock: Clock;
    readonly backlog: BacklogMonitor;
    readonly version: () => IndexedConfiguration | undefined;
    readonly lease: ConfigurationLease;
    readonly admission: RequestAdmission;
    readonly relay: RelayDependencies;
    readonly headerNames: HeaderNames;
    /** Service of the backend server on this host. */
    readonly ownService: string;
    readonly log: RequestLog;
    readonly metrics: MeshMetrics;
    readonly tally: OrganisationUsageCounters;
    readonly lifeCycle: LifeCycle;
}

/** Filters of header fields, kept for as long as the listener. */
interface HeaderFilters {
    /** Drops also what nodes set themselves, or keep from backend servers. */
    readonly requests: HeaderFilter;
    readonly answers: HeaderFilter;
}

const MAXIMUM_HEADER_BYTES = 65_536;
const SECOND_MS = 1000;
/** Time in which a process that was held up has read what waited. */
const RETRY_AFTER_BACKLOG_MS = 100;
const LONGEST_DEADLINE_MS = 600_000;
const TIME_DIGITS = 3;
/** Callers use a connection again until shortly before the idle limit, so it is closed a little after it. */
const IDLE_SLACK_MS = 1_000;
const FIRST_IDLE_LIMIT_MS = 60_000;

/** Creates the server for callers on this host. */
export function createCallerServer(parts: CallerServerParts): Server {
    const { key, deadline, organisation, callerService, expectedInstance } = parts.headerNames;
    const filters: HeaderFilters = {
        requests: HeaderFilter.create(new Set([key, deadline, organisation, callerService, expectedInstance])),
        answers: HeaderFilter.create(),
    };
    const server = createServer({ maxHeaderSize: MAXIMUM_HEADER_BYTES, noDelay: true }, (request, response) => {
        void new CallerExchange(parts, filters, request, response).serve();
    });
    server.on("connection", socket => parts.backlog.recordAccepted(socket));
    server.keepAliveTimeout = FIRST_IDLE_LIMIT_MS;
    server.requestTimeout = 0;
    return server;
}

/** Adopts the published idle limit; connections that are idle now keep the longer one. */
export function applyIdleTimeout(server: Server, idleTimeoutMs: number): void {
    server.keepAliveTimeout = Math.max(server.keepAliveTimeout, idleTimeoutMs + IDLE_SLACK_MS);
}

/** One request of a caller. */
class CallerExchange {
    private readonly startedAtMs: number;
    /** Earliest time of the clock at which the request can have arrived; its caller counts from then. */
    private readonly arrivedAtMs: number;
    private readonly id: string;
    private route: Route | undefined;
    /** Name of the organisation; empty while none is known. */
    private organisation = "";
    private relay: Relay | undefined;
    private isCallerGone = false;

    constructor(
        private readonly parts: CallerServerParts,
        private readonly filters: HeaderFilters,
        private readonly request: IncomingMessage,
        private readonly response: ServerResponse,
    ) {
        this.startedAtMs = parts.clock.nowMs();
        this.arrivedAtMs = parts.backlog.earliestArrivalMs(request.socket);
        const id = request.headers[parts.headerNames.attemptId];
        this.id = typeof id === "string" ? id : "";
    }

    /** Serves the request; never rejects. */
    async serve(): Promise<void> {
        this.parts.lifeCycle.begin();
        this.response.once("close", () => {
            this.parts.lifeCycle.end();
            if (!this.response.writableFinished) {
                this.isCallerGone = true;
                this.relay?.callerGone();
            }
        });
        try {
            await this.readOn();
            const { admission } = this.parts;
            const { host, [this.parts.headerNames.key]: key } = this.request.headers;
            const routed = admission.findRoute(host ?? "", this.request.url ?? "");
            this.route = routed.route;
            const identified = admission.authenticate(routed, typeof key === "string" ? key : undefined);
            this.organisation = identified.organisation?.name ?? "";
            const admitted = await admission.admit(identified);
            this.sendAnswer(await this.run(admitted));
        }
        catch (error) {
            this.sendFailure(error);
        }
    }

    private async run(admitted: AdmittedRequest): Promise<ExchangeResponse> {
        const { parts } = this;
        const { maximumBodyBytes } = admitted.version.configuration.limits;
        const body = await readBody(this.request, maximumBodyBytes);
        switch (body.kind) {
            case "too-large":
                throw RequestError.create("body-too-large");
            case "aborted":
                throw RequestError.create("caller-gone", { execution: "not-run" });
            case "whole": {
                const relayed = this.createRequest(admitted, body.body);
                // Tokens of other hosts and the body may have taken time.
                await this.readOn();
                this.throwIfOver(relayed);
                this.relay = Relay.create(parts.relay, relayed, admitted.service, () => this.hasCallerLeft());
                return await this.relay.run();
            }
        }
    }

    /** Reads what may have come behind the request before anything is done for it. */
    private async readOn(): Promise<void> {
        const { backlog } = this.parts;
        if (backlog.isReadingBacklog() || backlog.isNewlyAccepted(this.request.socket)) {
            await backlog.whenCaughtUp();
        }
        this.throwIfCallerLeft();
    }

    /** Whether the caller has closed its connection, as far as this process has read. */
    private hasCallerLeft(): boolean {
        const { socket } = this.request;
        return this.isCallerGone || socket.destroyed || socket.readableEnded;
    }

    private throwIfCallerLeft(): void {
        if (this.hasCallerLeft()) {
            throw RequestError.create("caller-gone", { execution: "not-run" });
        }
    }

    /** A request may have waited unread for all of its time. */
    private throwIfOver({ deadlineAtMs: giveUpAtMs }: RelayedRequest): void {
        if (giveUpAtMs <= this.parts.clock.nowMs()) {
            throw RequestError.create("deadline-too-near", { retryAfterMs: RETRY_AFTER_BACKLOG_MS });
        }
    }

    private createRequest(admitted: AdmittedRequest, body: Buffer | undefined): RelayedRequest {
        const { route, organisation, isOnwardCall } = admitted;
        const giveUpAtMs = this.arrivedAtMs + Math.min(this.readDeadlineMs(), route.timeoutMs);
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
        };
        return {
            content,
            route,
            deadlineAtMs: giveUpAtMs,
            softDeadlineAtMs: isOnwardCall ? giveUpAtMs : Math.min(giveUpAtMs, objectiveAtMs),
        };
    }

    private readDeadlineMs(): number {
        const value = this.request.headers[this.parts.headerNames.deadline];
        const milliseconds = typeof value === "string" ? Number(value) : NaN;
        return milliseconds >= 0 ? Math.min(milliseconds, LONGEST_DEADLINE_MS) : LONGEST_DEADLINE_MS;
    }

    /** Headers for the backend server; what nodes say themselves replaces what a caller sent under these names. */
    private createHeaders(organisation: Organisation | undefined): string[] {
        const { headerNames, ownService } = this.parts;
        const headers = this.filters.requests.filter(this.request.rawHeaders);
        headers.push(headerNames.callerService, ownService);
        if (organisation) {
            headers.push(headerNames.organisation, organisation.name);
        }
        return headers;
    }

    private sendAnswer(answer: ExchangeResponse): void {
        const { parts, response } = this;
        const elapsedMs = parts.clock.nowMs() - this.startedAtMs;
        parts.metrics.recordAnswer(this.route?.name ?? "", answer.status, elapsedMs);
        parts.tally.record(this.organisation, isServerError(answer) ? "failedByServer" : "answered");
        if (isServerError(answer)) {
            this.logEnd("request-failed-by-server", { status: answer.status });
        }
        else {
            parts.log.served({ request: this.id, route: this.route?.name, status: answer.status, elapsedMs });
        }
        if (this.isCallerGone) {
            return;
        }
        const headers = this.filters.answers.filter(answer.headers.fields);
        headers.push("content-length", String(answer.body.length));
        this.closeIfStopping(headers);
        response.writeHead(answer.status, headers);
        response.end(answer.body);
    }

    private sendFailure(error: unknown): void {
        const { parts, response } = this;
        const failure = toRefusal(error);
        parts.metrics.recordFailure(this.route?.name ?? "", failure.result.name);
        const outcome = toUsageOutcome(failure);
        if (outcome) {
            parts.tally.record(this.organisation, outcome);
        }
        this.logEnd("request-ended", {
            result: failure.result.name,
            code: failure.result.code,
            execution: failure.execution,
            detail: failure.message,
            retryAfterMs: failure.retryAfterMs === undefined ? undefined : Math.round(failure.retryAfterMs),
        });
        if (this.isCallerGone || response.headersSent) {
            return;
        }
        const headers = ["content-type", "application/json"];
        if (failure.retryAfterMs !== undefined && failure.execution === "not-run") {
            headers.push("retry-after", (failure.retryAfterMs / SECOND_MS).toFixed(TIME_DIGITS));
        }
        const body = JSON.stringify({ code: failure.result.code, result: failure.result.name });
        headers.push("content-length", String(Buffer.byteLength(body)));
        if (!this.request.complete) {
            headers.push("connection", "close");
        }
        else {
            this.closeIfStopping(headers);
        }
        response.writeHead(statusOf(failure), headers);
        response.end(body);
    }

    private closeIfStopping(headers: string[]): void {
        if (this.parts.lifeCycle.isStopping) {
            headers.push("connection", "close");
        }
    }

    private logEnd(event: string, fields: Readonly<Record<string, string | number | undefined>>): void {
        const { parts, route } = this;
        parts.log.decision(event, {
            request: this.id,
            route: route?.name,
            version: parts.version()?.configuration.version,
            proofAgeMs: Math.round(Math.min(parts.lease.ageMs(), Number.MAX_SAFE_INTEGER)),
            unreadMs: Math.round(this.startedAtMs - this.arrivedAtMs),
            elapsedMs: Math.round(parts.clock.nowMs() - this.startedAtMs),
            ...fields,
        });
    }
}

function toRefusal(error: unknown): RequestError {
    return error instanceof RequestError ? error : RequestError.create("internal-error", { detail: String(error) });
}

/** Status of a refusal; one that says "not run" is used only if that is certain. */
function statusOf(failure: RequestError): number {
    const { httpStatus } = failure.result;
    const CALLER_GONE_STATUS = 499;
    return httpStatus === CALLER_GONE_STATUS ? 504 : httpStatus;
}
