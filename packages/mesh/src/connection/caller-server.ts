/**
 * Requests of callers and of the backend server on this host: which route, whose key, within which rate, until when.
 */
import type { Clock } from "@radishrouter/core";
import { RequestError } from "@radishrouter/core";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { LifeCycle } from "../process/life-cycle.js";
import type { MeshMetrics } from "../process/mesh-metrics.js";
import type { ProcessorGuard } from "../process/processor-guard.js";
import type { RequestLog } from "../process/request-log.js";
import { HeaderFilter } from "../request/header-filter.js";
import type { HeaderNames } from "../request/header-names.js";
import { isServerFailure } from "../request/outcome.js";
import { Relay } from "../request/relay.js";
import type { RelayParts } from "../request/relay.js";
import type { RelayedRequest } from "../request/relayed-request.js";
import type { ConfigurationLease } from "../version/configuration-lease.js";
import type { Organisation, Route } from "../version/mesh-configuration.js";
import type { MeshVersion } from "../version/mesh-version.js";
import type { WeightedSplit } from "../version/weighted-split.js";
import type { ExchangeResponse } from "./http-exchange.js";
import { readBody } from "./message-body.js";
import type { TokenBroker } from "./token-broker.js";

/** Parts that the listener works with. */
export interface CallerServerParts {
    readonly clock: Clock;
    readonly version: () => MeshVersion | undefined;
    readonly lease: ConfigurationLease;
    readonly broker: TokenBroker;
    readonly guard: ProcessorGuard;
    readonly split: WeightedSplit;
    readonly relay: RelayParts;
    readonly headerNames: HeaderNames;
    /** Service of the backend server on this host. */
    readonly ownService: string;
    readonly log: RequestLog;
    readonly metrics: MeshMetrics;
    readonly lifeCycle: LifeCycle;
}

/** What was decided about a request before it is sent anywhere. */
interface Admission {
    readonly version: MeshVersion;
    readonly route: Route;
    readonly organisation: Organisation | undefined;
}

/** Filters of header fields, kept for as long as the listener. */
interface HeaderFilters {
    /** Drops also what nodes set themselves, or keep from backend servers. */
    readonly requests: HeaderFilter;
    readonly answers: HeaderFilter;
}

const MAXIMUM_HEADER_BYTES = 65_536;
const SECOND_MS = 1000;
const RETRY_AFTER_WITHOUT_CONFIGURATION_MS = 500;
const LONGEST_DEADLINE_MS = 600_000;
const TIME_DIGITS = 3;
const PERCENT = 100;
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
    server.keepAliveTimeout = FIRST_IDLE_LIMIT_MS;
    server.requestTimeout = 0;
    return server;
}

/** Adopts the published idle limit; connections that are idle now keep the longer one. */
export function applyIdleLimit(server: Server, idleTimeoutMs: number): void {
    server.keepAliveTimeout = Math.max(server.keepAliveTimeout, idleTimeoutMs + IDLE_SLACK_MS);
}

/** One request of a caller. */
class CallerExchange {
    private readonly startedAtMs: number;
    private readonly id: string;
    private route: Route | undefined;
    private relay: Relay | undefined;
    private isCallerGone = false;

    constructor(
        private readonly parts: CallerServerParts,
        private readonly filters: HeaderFilters,
        private readonly request: IncomingMessage,
        private readonly response: ServerResponse,
    ) {
        this.startedAtMs = parts.clock.nowMs();
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
            const admission = this.admit();
            const service = this.parts.split.next(admission.route);
            this.shed(admission, service);
            await this.keepWithinRate(admission.organisation);
            this.sendAnswer(await this.run(admission, service));
        }
        catch (error) {
            this.sendFailure(error);
        }
    }

    private admit(): Admission {
        const { parts, request } = this;
        const version = parts.version();
        if (!version) {
            throw RequestError.create("configuration-missing", { retryAfterMs: RETRY_AFTER_WITHOUT_CONFIGURATION_MS });
        }
        const target = request.url ?? "";
        this.route = version.routes.find(request.headers.host ?? "", target);
        if (!this.route || !target.startsWith("/")) {
            throw RequestError.create("route-unknown", {
                detail: `no route in version ${version.configuration.version}`,
            });
        }
        const organisation = this.identify(version, this.route);
        return { version, route: this.route, organisation };
    }

    /** Finds the organisation of the caller's key; undefined where none is needed. */
    private identify(version: MeshVersion, route: Route): Organisation | undefined {
        if (!version.needsKeys || route.isPublic) {
            return undefined;
        }
        const { lease, headerNames } = this.parts;
        if (!lease.isValid()) {
            throw RequestError.create("configuration-missing", {
                detail: `the configuration was last proved current ${Math.round(lease.ageMs())} ms ago`,
                retryAfterMs: RETRY_AFTER_WITHOUT_CONFIGURATION_MS,
            });
        }
        const key = this.request.headers[headerNames.key];
        const organisation = typeof key === "string" ? version.organisationOfKey(key) : undefined;
        if (!organisation) {
            throw RequestError.create(key === undefined ? "key-missing" : "key-invalid");
        }
        return organisation;
    }

    /** Refuses a new request that this node or the services below its own cannot carry. */
    private shed({ route, organisation, version }: Admission, service: string): void {
        if (isOnwardCall(version, route)) {
            return;
        }
        const priority = organisation?.priority ?? route.priority;
        const guarded = this.parts.guard.decide(priority);
        if (guarded.kind === "refused") {
            const detail = `this node is ${Math.round(guarded.lagMs)} ms behind`;
            throw RequestError.create("overloaded", { detail, retryAfterMs: guarded.retryAfterMs });
        }
        const throttled = this.parts.relay.throttle.decide(service, priority);
        if (throttled.kind === "refused") {
            const detail = `${Math.round(throttled.pressure * PERCENT)}% of the onward calls of ${service} are ` +
                `refused; ${Math.round(throttled.admittedPart * PERCENT)}% of its requests are admitted`;
            throw RequestError.create("downstream-overloaded", { detail, retryAfterMs: throttled.retryAfterMs });
        }
    }

    private async keepWithinRate(organisation: Organisation | undefined): Promise<void> {
        if (!organisation) {
            return;
        }
        const decision = await this.parts.broker.take(organisation);
        if (decision.kind === "over") {
            throw RequestError.create("rate-exceeded", {
                detail: `${organisation.name} is over its rate`,
                retryAfterMs: decision.retryAfterMs,
            });
        }
    }

    private async run(admission: Admission, service: string): Promise<ExchangeResponse> {
        const { parts } = this;
        const { maximumBodyBytes } = admission.version.configuration.limits;
        const body = await readBody(this.request, maximumBodyBytes);
        switch (body.kind) {
            case "too-large":
                throw RequestError.create("body-too-large");
            case "aborted":
                throw RequestError.create("caller-gone", { execution: "not-run" });
            case "whole": {
                const relayed = this.createRequest(admission, body.body);
                this.relay = Relay.create(parts.relay, relayed, service);
                if (this.isCallerGone) {
                    throw RequestError.create("caller-gone", { execution: "not-run" });
                }
                return await this.relay.run();
            }
        }
    }

    private createRequest(admission: Admission, body: Buffer | undefined): RelayedRequest {
        const { route, organisation } = admission;
        const deadlineMs = this.startedAtMs + this.readDeadlineMs();
        const giveUpAtMs = Math.min(deadlineMs, this.startedAtMs + route.timeoutMs);
        const isCall = isOnwardCall(admission.version, route);
        const objectiveAtMs = this.startedAtMs + route.latencyObjectiveMs;
        return {
            id: this.id,
            method: this.request.method ?? "GET",
            target: this.request.url ?? "/",
            headers: this.createHeaders(organisation),
            body,
            route,
            priority: organisation?.priority ?? route.priority,
            isOnwardCall: isCall,
            giveUpAtMs,
            answerByMs: isCall ? giveUpAtMs : Math.min(giveUpAtMs, objectiveAtMs),
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
        const headers = this.filters.requests.passOn(this.request.rawHeaders);
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
        if (isServerFailure(answer)) {
            this.logEnd("request-failed-by-server", { status: answer.status });
        }
        else {
            parts.log.served({ request: this.id, route: this.route?.name, status: answer.status, elapsedMs });
        }
        if (this.isCallerGone) {
            return;
        }
        const headers = this.filters.answers.passOn(answer.headers.fields);
        headers.push("content-length", String(answer.body.length));
        this.closeIfStopping(headers);
        response.writeHead(answer.status, headers);
        response.end(answer.body);
    }

    private sendFailure(error: unknown): void {
        const { parts, response } = this;
        const failure = toRefusal(error);
        parts.metrics.recordFailure(this.route?.name ?? "", failure.result.name);
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
            elapsedMs: Math.round(parts.clock.nowMs() - this.startedAtMs),
            ...fields,
        });
    }
}

/** Onward calls carry no key; where keys are needed, public routes are theirs. */
function isOnwardCall(version: MeshVersion, route: Route): boolean {
    return version.needsKeys && route.isPublic;
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
