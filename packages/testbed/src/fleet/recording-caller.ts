/**
 * A caller that records the result of each request, and a check of these results against the backend servers' run
 * records.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request } from "undici";
import type { RunRecord } from "../standin/backend-server.js";
import type { Fleet } from "./fleet.js";
import { waitFor } from "./wait-for.js";

/** One request attempt and its result, as the caller observed them. */
export interface AttemptRecord {
    readonly requestId: string;
    readonly method: string;
    readonly host: string;
    readonly startMs: number;
    readonly endMs: number;
    readonly result: AttemptResult;
}

/** Result of an attempt, as the caller observed it. */
export type AttemptResult =
    /** A complete response of a backend server. */
    | {
        readonly kind: "answered";
        readonly status: number;
        readonly responseRequestId: string;
        readonly replayed: boolean;
    }
    /** A result of a node, with its result code. */
    | { readonly kind: "problem"; readonly status: number; readonly code: number; readonly execution: string; }
    /** No connection could be opened. */
    | { readonly kind: "unreached"; }
    /** The connection failed, or the response ended before it was complete. */
    | { readonly kind: "lost"; readonly detail: string; };

/** One request to send. */
export interface SendOptions {
    /** Host whose node receives the request. */
    readonly host: string;
    readonly url: string;
    readonly method: "GET" | "POST";
    readonly key: string;
    readonly requestId: string;
    readonly idempotencyKey?: string;
    readonly headers?: Record<string, string>;
    /** Body of a POST request; a text that contains the request id when absent. */
    readonly body?: string;
}

const RATE_EXCEEDED = 2001;
/** Delay before a request that the rate limit refused is retried. */
const RATE_LIMIT_RETRY_MS = 50;

/** Sends requests from the callers' address and records the result of each. */
export class RecordingCaller {
    readonly records: AttemptRecord[] = [];
    private agent: Agent;

    private constructor(private readonly localAddress: string) {
        this.agent = this.createAgent();
    }

    static create(localAddress: string): RecordingCaller {
        return new RecordingCaller(localAddress);
    }

    /** Sends one request; resolves with its record, also when it failed. */
    async send(options: SendOptions): Promise<AttemptRecord> {
        const startMs = Date.now();
        const result = await this.sendRequest(options);
        const { requestId, method, host } = options;
        const record = { requestId, method, host, startMs, endMs: Date.now(), result };
        this.records.push(record);
        return record;
    }

    /** Sends one request and retries it while the rate limit refuses it, for tests that are not about rate limits. */
    async sendWithinRate(options: SendOptions): Promise<AttemptRecord> {
        for (;;) {
            const record = await this.send(options);
            if (record.result.kind !== "problem" || record.result.code !== RATE_EXCEEDED) {
                return record;
            }
            await sleep(RATE_LIMIT_RETRY_MS);
        }
    }

    /** Closes all connections and aborts the requests on them. */
    async close(): Promise<void> {
        await this.agent.destroy();
        this.agent = this.createAgent();
    }

    private createAgent(): Agent {
        return new Agent({ connections: 128, pipelining: 1, localAddress: this.localAddress });
    }

    private async sendRequest(options: SendOptions): Promise<AttemptResult> {
        try {
            const response = await request(options.url, {
                method: options.method,
                dispatcher: this.agent,
                headers: {
                    "authorization": `Bearer ${options.key}`,
                    "x-request-id": options.requestId,
                    ...(options.idempotencyKey ? { "idempotency-key": options.idempotencyKey } : {}),
                    ...options.headers,
                },
                body: options.method === "POST" ? options.body ?? `booking ${options.requestId}` : undefined,
            });
            const body = parseBody(await response.body.text());
            if (String(response.headers["content-type"]).startsWith("application/problem")) {
                const { code, execution } = body;
                return { kind: "problem", status: response.statusCode, code: code ?? 0, execution: String(execution) };
            }
            return {
                kind: "answered",
                status: response.statusCode,
                responseRequestId: String(body.requestId),
                replayed: response.headers["idempotency-replayed"] !== undefined,
            };
        }
        catch (error) {
            if (error instanceof Error && "syscall" in error && error.syscall === "connect") {
                return { kind: "unreached" };
            }
            return { kind: "lost", detail: error instanceof Error ? `${error.name}: ${error.message}` : String(error) };
        }
    }
}

/**
 * Parses a body as JSON. A body that is not JSON although its message was complete gets a request id that no request
 * has, so that it shows up as a contradiction.
 */
function parseBody(text: string): { requestId?: string; code?: number; execution?: string; } {
    try {
        return JSON.parse(text) as { requestId?: string; };
    }
    catch {
        return { requestId: "(incomplete body in a complete message)" };
    }
}

/** Waits for the end records of all answered requests, since run records arrive with a delay through pipes. */
export async function waitForRunRecords(fleet: Fleet, attempts: readonly AttemptRecord[]): Promise<void> {
    const answered = attempts.filter(({ result }) => result.kind === "answered").map(({ requestId }) => requestId);
    await waitFor(() => {
        const ended = new Set(fleet.runRecords().filter(run => run.event === "end").map(run => run.requestId));
        return answered.every(requestId => ended.has(requestId));
    }, "the run records contain the end of every request that was answered");
}

/** Lists contradictions between results that a caller received and run records; the list is empty when all agree. */
export function findContradictions(attempts: readonly AttemptRecord[], runs: readonly RunRecord[]): string[] {
    const contradictions: string[] = [];
    const starts = countByMethodAndId(runs.filter(run => run.event === "start"));
    const ends = countByMethodAndId(runs.filter(run => run.event === "end"));
    for (const [requestId, records] of groupByRequestId(attempts)) {
        const methodAndId = `${records[0]!.method} ${requestId}`;
        const started = starts.get(methodAndId) ?? 0;
        if (records[0]!.method === "POST" && started > 1) {
            contradictions.push(`non-idempotent request ${requestId} ran ${started} times, expected at most once`);
        }
        const isNotRun = records.every(({ result }) => result.kind === "problem" && result.execution === "not-run");
        if (isNotRun && started > 0) {
            contradictions.push(`${requestId} was reported as not run, but ran ${started} times`);
        }
        for (const { result } of records) {
            if (result.kind === "answered" && result.responseRequestId !== requestId) {
                contradictions.push(`${requestId} got the response to ${result.responseRequestId}`);
            }
            if (result.kind === "answered" && (ends.get(methodAndId) ?? 0) === 0) {
                contradictions.push(`${requestId} was answered, but no run of it ended`);
            }
        }
    }
    return contradictions;
}

function countByMethodAndId(runs: readonly RunRecord[]): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { method, requestId } of runs) {
        const methodAndId = `${method} ${requestId}`;
        counts.set(methodAndId, (counts.get(methodAndId) ?? 0) + 1);
    }
    return counts;
}

function groupByRequestId(attempts: readonly AttemptRecord[]): Map<string, AttemptRecord[]> {
    const groups = new Map<string, AttemptRecord[]>();
    for (const attempt of attempts) {
        groups.set(attempt.requestId, [...groups.get(attempt.requestId) ?? [], attempt]);
    }
    return groups;
}
