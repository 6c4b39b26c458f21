/**
 * Requests that other nodes forward to the backend server on this host.
 */
import type { Clock } from "@radishrouter/core";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { LifeCycle } from "../process/life-cycle.js";
import type { OrganisationQuota } from "../process/organisation-quota.js";
import type { RequestLog } from "../process/request-log.js";
import type { ServerGate } from "../process/server-gate.js";
import { answerHeader, forwardHeader, passOn } from "../request/header-names.js";
import type { HeaderNames } from "../request/header-names.js";
import type { Outcome, Send } from "../request/outcome.js";
import type { ServerRequest } from "../request/relayed-request.js";
import { readBody } from "./message-body.js";
import { formatLoad, PROBE_PATH, PROGRESS_MS, TOKENS_PATH } from "./peer-client.js";
import type { ServerClient } from "./server-client.js";

/** Parts that the listener works with. */
export interface PeerServerParts {
    readonly clock: Clock;
    readonly server: ServerClient;
    readonly gate: ServerGate;
    readonly quota: OrganisationQuota;
    readonly headerNames: HeaderNames;
    readonly ownService: string;
    readonly lifeCycle: LifeCycle;
    readonly log: RequestLog;
}

const MAXIMUM_HEADER_BYTES = 65_536;
const MAXIMUM_BODY_BYTES = 128 * 1024 * 1024;
const IDLE_MS = 20_000;
const OK_STATUS = 200;
const NO_CONTENT_STATUS = 204;
const NOT_FOUND_STATUS = 404;
const UNAVAILABLE_STATUS = 503;

/** An address that is used again can belong to a host of another service. */
const OTHER_SERVICE: Outcome = { kind: "not-run", reason: "other-service", reached: false, retryAfterMs: 0 };

/** Creates the server for requests of other nodes. */
export function createPeerServer(parts: PeerServerParts): Server {
    const server = createServer({ maxHeaderSize: MAXIMUM_HEADER_BYTES, noDelay: true }, (request, response) => {
        if (request.headers[forwardHeader.route] !== undefined) {
            void serve(parts, request, response);
        }
        else if (request.url?.startsWith(TOKENS_PATH)) {
            giveTokens(parts, request.url, response);
        }
        else {
            answerProbe(parts, request.url === PROBE_PATH, response);
        }
    });
    server.keepAliveTimeout = IDLE_MS;
    server.requestTimeout = 0;
    return server;
}

function answerProbe(parts: PeerServerParts, isProbe: boolean, response: ServerResponse): void {
    const runningStatus = parts.lifeCycle.isStopping ? UNAVAILABLE_STATUS : OK_STATUS;
    response.writeHead(isProbe ? runningStatus : NOT_FOUND_STATUS, ["content-length", "0"]);
    response.end();
}

function giveTokens(parts: PeerServerParts, url: string, response: ServerResponse): void {
    const query = new URLSearchParams(url.slice(url.indexOf("?") + 1));
    const granted = parts.quota.grant(query.get("organisation") ?? "", Number(query.get("wanted")));
    const body = String(granted);
    response.writeHead(OK_STATUS, ["content-length", String(body.length)]);
    response.end(body);
}

async function serve(parts: PeerServerParts, request: IncomingMessage, response: ServerResponse): Promise<void> {
    parts.lifeCycle.begin();
    let send: Send | undefined = undefined;
    let isSenderGone = false;
    const progress = setInterval(() => response.writeProcessing(), PROGRESS_MS);
    response.once("close", () => {
        parts.lifeCycle.end();
        clearInterval(progress);
        isSenderGone = !response.writableFinished;
        if (isSenderGone) {
            send?.abort("caller-gone");
        }
    });
    const receivedAtMs = parts.clock.nowMs();
    const body = await readBody(request, MAXIMUM_BODY_BYTES);
    if (body.kind !== "whole" || isSenderGone) {
        clearInterval(progress);
        response.destroy();
        return;
    }
    if (textOf(request.headers[forwardHeader.service]) !== parts.ownService) {
        clearInterval(progress);
        write(parts, request, response, OTHER_SERVICE);
        return;
    }
    send = parts.server.send(readRequest(parts, request, body.body, receivedAtMs));
    const outcome = await send.outcome;
    clearInterval(progress);
    if (!isSenderGone) {
        write(parts, request, response, outcome);
    }
}

function readRequest(
    parts: PeerServerParts,
    request: IncomingMessage,
    body: Buffer | undefined,
    receivedAtMs: number,
): ServerRequest {
    const { headers } = request;
    return {
        id: textOf(headers[parts.headerNames.attemptId]),
        method: request.method ?? "GET",
        target: request.url ?? "/",
        headers: passOn(request.rawHeaders, () => false),
        body,
        routeName: textOf(headers[forwardHeader.route]),
        priority: Number(textOf(headers[forwardHeader.priority])) || 0,
        isOnwardCall: headers[forwardHeader.onwardCall] !== undefined,
        giveUpAtMs: receivedAtMs + (Number(textOf(headers[forwardHeader.remainingMs])) || 0),
        answerByMs: receivedAtMs + (Number(textOf(headers[forwardHeader.answerInMs])) || 0),
        instance: textOf(headers[forwardHeader.instance]),
    };
}

function textOf(value: string | string[] | undefined): string {
    return typeof value === "string" ? value : "";
}

function write(parts: PeerServerParts, request: IncomingMessage, response: ServerResponse, outcome: Outcome): void {
    const state = [answerHeader.load, formatLoad(parts.gate.load()), answerHeader.outcome, outcome.kind];
    if (parts.lifeCycle.isStopping) {
        state.push(answerHeader.stopping, "1", "connection", "close");
    }
    switch (outcome.kind) {
        case "answered": {
            const { status, headers, body } = outcome.response;
            const fields = [...passOn(headers.fields, () => false), ...state, "content-length", String(body.length)];
            response.writeHead(status, fields);
            response.end(body);
            return;
        }
        case "not-run":
            logEnd(parts, request, outcome.reason);
            state.push(answerHeader.reached, outcome.reached ? "1" : "0");
            state.push(answerHeader.retryAfterMs, String(Math.round(outcome.retryAfterMs)));
            break;
        case "unknown":
            logEnd(parts, request, `${outcome.reason}: ${outcome.detail}`);
            break;
    }
    state.push(answerHeader.reason, outcome.reason);
    response.writeHead(NO_CONTENT_STATUS, state);
    response.end();
}

function logEnd(parts: PeerServerParts, request: IncomingMessage, reason: string): void {
    const { open, waiting, limit } = parts.gate.load();
    parts.log.decision("forwarded-request-not-answered", {
        request: textOf(request.headers[parts.headerNames.attemptId]),
        route: textOf(request.headers[forwardHeader.route]),
        reason,
        open,
        waiting,
        limit,
    });
}
