/**
 * Sends requests to the backend server on this host once the admission gate admits them.
 */
import type { BacklogMonitor, Clock } from "@radishrouter/core";
import type { ColdServer, HealthCheckResult } from "../process/cold-server.js";
import type { CrashingRequests } from "../process/crashing-requests.js";
import type { LocalInstance } from "../process/local-instance.js";
import type { CallPressure } from "../process/overload-signal.js";
import type { ColdTimeDecoder, ServerCondition, ServerConditionDecoder } from "../process/server-condition.js";
import { MAXIMUM_SERVER_CONNECTIONS } from "../process/server-connections.js";
import type { ServerStart } from "../process/server-directory.js";
import type { GateOutcome, ServerGate } from "../process/server-gate.js";
import type { ServerSpeed } from "../process/server-speed.js";
import type { SuspectTurn } from "../process/suspect-turns.js";
import type { HeaderNames } from "../request/header-names.js";
import { isServerError } from "../request/outcome.js";
import type { Attempt, AttemptOutcome, AttemptResult, AttemptTiming, UnknownReason } from "../request/outcome.js";
import type { ServerRequest } from "../request/relayed-request.js";
import { ExchangePool } from "./http-exchange.js";
import type { ExchangeResponse, FailedExchange } from "./http-exchange.js";
import {
    CLOSED_REFUSALS,
    CRASH_REFUSALS,
    NO_TIME_LEFT,
    NOT_CONNECTED,
    NOT_SENT_TIMING,
    OTHER_SERVICE,
    ServerAttempt,
    toColdRefusal,
    toGateOutcome,
} from "./server-attempt.js";
import { ServerConnectionMonitor } from "./server-connection-monitor.js";
import { createServerProbe, ServerEndDetector } from "./server-end-detector.js";
import type { LostRequest } from "./server-end-detector.js";
import { checkServerHealth } from "./server-health-check.js";
import { isFromExpectedInstance, toServerOutcome } from "./server-response.js";

/** Collaborators and settings of the client for the local backend server. */
export interface ServerClientDependencies {
    readonly clock: Clock;
    readonly backlog: BacklogMonitor;
    readonly gate: ServerGate;
    readonly headerNames: HeaderNames;
    readonly hostAddress: string;
    readonly port: number;
    /** Service of the backend server on this host. */
    readonly localService: string;
    readonly localInstance: LocalInstance;
    /** Records service times; without it none are. */
    readonly speed?: ServerSpeed;
    readonly onwardPressure: CallPressure;
    readonly crashing: CrashingRequests;
    readonly cold: ColdServer;
    readonly decodeColdMs: ColdTimeDecoder;
    readonly decodeCondition: ServerConditionDecoder;
    /** Called with what an instance of the backend server said of itself in its latest response. */
    readonly onCondition: (instance: string, condition: ServerCondition) => void;
    /** Whether an instance of the backend server is known to leave, or to have left. */
    readonly isLeaving: (instance: string) => boolean;
}

const CONNECT_TIMEOUT_MS = 300;
const IDLE_TIMEOUT_MS = 4_000;
/** Time after a failed connection for which no new connection is tried. */
const CONNECT_BACKOFF_MS = 150;
/** Longest wait for the configuration, which says whether cold servers have a limit. */
const RULE_WAIT_MS = 500;

/** Client of the backend server on this host. */
export class ServerClient {
    private readonly pool: ExchangePool;
    private readonly endDetector: ServerEndDetector;
    private downUntilMs = 0;
    /** Position of the latest response whose condition was applied. */
    private latestOrder = 0;

    private constructor(private readonly dependencies: ServerClientDependencies) {
        const { cold } = dependencies;
        const connections = ServerConnectionMonitor.create({
            onFirstOpened: () => cold.recordUnconnected(),
            onLastClosed: isLost => isLost ? cold.suspect("connections-lost") : cold.recordUnconnected(),
        });
        this.pool = ExchangePool.create({
            hostAddress: dependencies.hostAddress,
            port: dependencies.port,
            maximumConnections: MAXIMUM_SERVER_CONNECTIONS,
            connectTimeoutMs: CONNECT_TIMEOUT_MS,
            idleTimeoutMs: IDLE_TIMEOUT_MS,
            idHeader: dependencies.headerNames.attemptId,
            onConnected: socket => {
                connections.add(socket);
                this.endDetector.recordConnected();
            },
        });
        this.endDetector = ServerEndDetector.create({
            clock: dependencies.clock,
            probe: createServerProbe(dependencies.hostAddress, dependencies.port),
            onEnded: (run, requests) => {
                if (run === this.endDetector.currentRun) {
                    cold.suspect("unreachable");
                    dependencies.gate.beginSlowStart("server-ended");
                }
                dependencies.crashing.recordEnd(run, requests);
            },
        });
        dependencies.gate.setProbing(true);
    }

    static create(dependencies: ServerClientDependencies): ServerClient {
        return new ServerClient(dependencies);
    }

    /**
     * Sends one request; its outcome says whether it ran. `hasCallerDisconnected` reports whether the connection that
     * carried the request has ended, which may be before the attempt is aborted.
     */
    send(request: ServerRequest, hasCallerDisconnected: () => boolean): Attempt {
        if (request.service !== this.dependencies.localService) {
            return this.refuse(OTHER_SERVICE);
        }
        const attempt = new ServerAttempt(this.dependencies.clock.nowMs(), hasCallerDisconnected);
        const outcome = this.execute(request, attempt);
        const result = outcome.then(settled => this.toResult(settled, this.timingOf(attempt)));
        return { result, abort: reason => attempt.abort(reason) };
    }

    /** Records which instance of the backend server runs at the address. */
    recordInstance(start: ServerStart): void {
        this.endDetector.recordInstance(start);
    }

    /** Sends a health check to the backend server. */
    checkHealth(path: string, mayWrite: () => boolean): Promise<HealthCheckResult> {
        const { clock, hostAddress, port, decodeColdMs } = this.dependencies;
        const context = { clock, pool: this.pool, authority: `${hostAddress}:${port}`, decodeColdMs };
        return checkServerHealth(context, path, mayWrite);
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await this.pool.destroy();
    }

    private refuse(outcome: AttemptOutcome): Attempt {
        return { result: Promise.resolve(this.toResult(outcome, NOT_SENT_TIMING)), abort: () => undefined };
    }

    private toResult(outcome: AttemptOutcome, timing: AttemptTiming): AttemptResult {
        const { onwardPressure, gate } = this.dependencies;
        return { outcome, onwardPressure: onwardPressure.current(), excess: gate.excess(), timing };
    }

    private timingOf({ enteredAtMs, admittedAtMs }: ServerAttempt): AttemptTiming {
        const nowMs = this.dependencies.clock.nowMs();
        return { gateMs: (admittedAtMs ?? nowMs) - enteredAtMs, serverMs: nowMs - (admittedAtMs ?? nowMs) };
    }

    private async execute(request: ServerRequest, attempt: ServerAttempt): Promise<AttemptOutcome> {
        const informed = this.dependencies.crashing.exchange.whenInformed();
        if (informed) {
            await informed;
        }
        if (!await this.isRuleKnown()) {
            return NOT_CONNECTED;
        }
        const outcome = await this.executeOnce(request, attempt, request.isTrial === true);
        const needsTurnAlone = outcome === CRASH_REFUSALS.suspected && attempt.turn !== undefined;
        if (!needsTurnAlone) {
            return outcome;
        }
        attempt.exchange = undefined;
        return await this.executeOnce(request, attempt, true);
    }

    /** Waits for the configuration for a while: without it, a server that is cold could get any number of requests. */
    private async isRuleKnown(): Promise<boolean> {
        const known = this.dependencies.cold.whenRuleKnown();
        if (!known) {
            return true;
        }
        return await new Promise<boolean>(resolve => {
            const timer = this.dependencies.clock.setTimer(RULE_WAIT_MS, () => resolve(false));
            void known.then(() => {
                timer.cancel();
                resolve(true);
            });
        });
    }

    private async executeOnce(
        request: ServerRequest,
        attempt: ServerAttempt,
        isTrial: boolean,
    ): Promise<AttemptOutcome> {
        const { crashing, clock, gate } = this.dependencies;
        const slackMs = request.softDeadlineAtMs - clock.nowMs() -
            gate.expectedServiceTimeMs(request.content.routeName);
        const admission = crashing.admit(request.content, isTrial, slackMs);
        switch (admission.kind) {
            case "refused":
                return CRASH_REFUSALS[admission.reason];
            case "free":
                return clock.nowMs() < this.downUntilMs ? NOT_CONNECTED : await this.executeInGate(request, attempt);
            case "suspect":
                return await this.executeInTurn(request, attempt, admission.turn);
        }
    }

    /** Waits for the turn of a suspect, outside the gate so that the wait takes no slot. */
    private async executeInTurn(
        request: ServerRequest,
        attempt: ServerAttempt,
        turn: SuspectTurn,
    ): Promise<AttemptOutcome> {
        attempt.turn = turn;
        const waitMs = request.softDeadlineAtMs - this.dependencies.clock.nowMs();
        const timer = this.dependencies.clock.setTimer(waitMs, () => turn.end());
        try {
            const isGranted = await turn.granted;
            timer.cancel();
            if (!isGranted) {
                return NO_TIME_LEFT;
            }
            return this.dependencies.clock.nowMs() < this.downUntilMs ?
                NOT_CONNECTED :
                await this.executeInGate(request, attempt);
        }
        finally {
            turn.end();
        }
    }

    private async executeInGate(request: ServerRequest, attempt: ServerAttempt): Promise<AttemptOutcome> {
        if (attempt.abortReason !== undefined) {
            return NO_TIME_LEFT;
        }
        this.dependencies.cold.recordArrival();
        const ticket = this.dependencies.gate.enter({
            route: request.content.routeName,
            priority: request.content.priority,
            isOnwardCall: request.content.isOnwardCall,
            softDeadlineAtMs: request.softDeadlineAtMs,
            organisation: request.content.organisation,
            weight: request.content.weight,
        });
        attempt.ticket = ticket;
        const decision = await ticket.decision;
        if (decision.kind === "refused") {
            const { reason, retryAfterMs } = decision;
            return { kind: "not-run", reason, reached: false, retryAfterMs };
        }
        await this.waitForInputBacklog(attempt);
        const startedAtMs = this.dependencies.clock.nowMs();
        attempt.admittedAtMs = startedAtMs;
        this.dependencies.onwardPressure.recordRequest();
        let gateOutcome: GateOutcome = { kind: "abandoned" };
        try {
            const outcome = await this.sendToCurrentInstance(request, attempt);
            gateOutcome = toGateOutcome(outcome, this.dependencies.clock.nowMs() - startedAtMs);
            if (gateOutcome.kind === "answered") {
                this.dependencies.speed?.recordServiceTime(gateOutcome.serviceMs);
            }
            return outcome;
        }
        finally {
            ticket.end(gateOutcome);
        }
    }

    private async sendToCurrentInstance(request: ServerRequest, attempt: ServerAttempt): Promise<AttemptOutcome> {
        const outcome = await this.sendOnce(request, attempt);
        const isMisdirected = outcome.kind === "not-run" && outcome.reason === "other-instance";
        if (isMisdirected && attempt.abortReason === undefined && this.mayUseCurrentInstance()) {
            // The response named the instance that runs now, so the request is sent again to that instance.
            return await this.sendOnce(request, attempt);
        }
        return outcome;
    }

    private mayUseCurrentInstance(): boolean {
        const { current } = this.dependencies.localInstance;
        return current === undefined || !this.dependencies.isLeaving(current);
    }

    /** Waits until the input backlog is read: it may hold the cancellation behind the response that freed the slot. */
    private async waitForInputBacklog(attempt: ServerAttempt): Promise<void> {
        const { backlog } = this.dependencies;
        if (backlog.isReadingBacklog()) {
            await backlog.whenCaughtUp();
        }
        if (attempt.hasCallerDisconnected()) {
            attempt.abortReason ??= "caller-gone";
        }
    }

    private async sendOnce(request: ServerRequest, attempt: ServerAttempt): Promise<AttemptOutcome> {
        const remainingMs = Math.floor(request.deadlineAtMs - this.dependencies.clock.nowMs());
        if (attempt.abortReason !== undefined || remainingMs < 1) {
            return NO_TIME_LEFT;
        }
        const { method, target, body, id } = request.content;
        const instance = this.dependencies.localInstance.current ?? request.instance;
        attempt.exchange = this.pool.start(
            { method, path: target, headers: this.createHeaders(request, instance, remainingMs), body, id },
            () => this.shouldSend(request, attempt),
        );
        const result = await attempt.exchange.result;
        if (result.kind === "failed") {
            return attempt.lateRefusal ?? await this.toFailedOutcome(request, attempt, result);
        }
        const outcome = toServerOutcome(request.content.id, result.response, this.dependencies.headerNames);
        if (outcome.kind === "not-run" && outcome.reason === "other-instance") {
            if (attempt.isCountedAsCold) {
                this.dependencies.cold.recordMisdirected();
            }
            this.recordReportedInstance(result.response);
        }
        if (outcome.kind === "answered") {
            this.dependencies.cold.recordAnswered();
        }
        if (outcome.kind === "answered" && !isServerError(outcome.response)) {
            this.dependencies.crashing.recordCompletion(request.content);
        }
        if (isFromExpectedInstance(outcome)) {
            this.readCondition(instance, result.response);
        }
        // Only now, because the response may name a rate for the requests that wait.
        this.dependencies.gate.setProbing(false);
        return outcome;
    }

    /**
     * Applies what a valid response says of the instance that sent it, unless a later one was read before, or another
     * instance runs since.
     */
    private readCondition(instance: string, { headers, order = 0 }: ExchangeResponse): void {
        const isCurrent = (this.dependencies.localInstance.current ?? instance) === instance;
        if (instance === "" || !isCurrent || order < this.latestOrder) {
            return;
        }
        this.latestOrder = order;
        this.dependencies.onCondition(instance, this.dependencies.decodeCondition(headers));
    }

    /**
     * Checks again once the connection is open: the caller may have disconnected, the deadline may have passed, the
     * server may have begun to leave or be cold, its failure domain may have been evacuated, or the request may have
     * become a suspect.
     */
    private shouldSend(request: ServerRequest, attempt: ServerAttempt): boolean {
        if (attempt.hasCallerDisconnected()) {
            attempt.abortReason ??= "caller-gone";
        }
        if (request.deadlineAtMs <= this.dependencies.clock.nowMs()) {
            attempt.abortReason ??= "timeout";
        }
        attempt.lateRefusal = this.lateRefusalOf(request, attempt);
        attempt.serverRun = this.endDetector.currentRun;
        return attempt.abortReason === undefined && attempt.lateRefusal === undefined;
    }

    private lateRefusalOf(request: ServerRequest, attempt: ServerAttempt): AttemptOutcome | undefined {
        const { closingReason } = this.dependencies.gate;
        if (closingReason) {
            return CLOSED_REFUSALS[closingReason];
        }
        const reason = this.dependencies.crashing.refusalOf(request.content, attempt.turn);
        if (reason !== undefined || attempt.abortReason !== undefined) {
            return reason && CRASH_REFUSALS[reason];
        }
        const { cold } = this.dependencies;
        attempt.isCountedAsCold = cold.isCold;
        return cold.tryWrite() ? undefined : toColdRefusal(cold.timeUntilWriteMs());
    }

    private createHeaders(request: ServerRequest, instance: string, remainingMs: number): string[] {
        const { headerNames } = this.dependencies;
        const headers = [...request.content.headers, headerNames.deadline, String(remainingMs)];
        if (instance !== "") {
            headers.push(headerNames.expectedInstance, instance);
        }
        return headers;
    }

    private async toFailedOutcome(
        request: ServerRequest,
        attempt: ServerAttempt,
        { sent, reason: detail }: FailedExchange,
    ): Promise<AttemptOutcome> {
        if (sent && attempt.abortReason === undefined) {
            return { kind: "unknown", reason: await this.findLossReason(request, attempt), detail };
        }
        if (sent) {
            this.endDetector.recordGivenUp(toLostRequest(request, attempt));
            return { kind: "unknown", reason: attempt.abortReason ?? "connection-lost", detail };
        }
        if (attempt.abortReason === undefined) {
            this.endDetector.recordNotConnected();
            this.dependencies.cold.suspect("unreachable");
            this.downUntilMs = this.dependencies.clock.nowMs() + CONNECT_BACKOFF_MS;
            this.dependencies.gate.setProbing(true);
            this.dependencies.gate.refuseWaiting("server-down");
        }
        return NOT_CONNECTED;
    }

    private async findLossReason(request: ServerRequest, attempt: ServerAttempt): Promise<UnknownReason> {
        const lost = toLostRequest(request, attempt);
        const hasEnded = await this.endDetector.recordLoss(lost);
        if (!hasEnded) {
            return "connection-lost";
        }
        return lost.isTried ? "server-ended-in-trial" : "server-ended";
    }

    /** Records which instance runs at the address, as it refused a request for another one. */
    private recordReportedInstance({ headers }: ExchangeResponse): void {
        const instance = headers.get(this.dependencies.headerNames.instance);
        if (instance !== undefined) {
            this.dependencies.cold.recordReportedInstance(instance);
            this.dependencies.localInstance.setReported(instance);
            this.recordInstance({ instance, startedAtMs: undefined });
        }
    }
}

function toLostRequest({ content }: ServerRequest, { turn, serverRun }: ServerAttempt): LostRequest {
    return { content, isTried: turn?.isAlone === true, run: serverRun };
}
