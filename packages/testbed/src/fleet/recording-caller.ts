/**
 * A caller that records what it received, and a check of the records against what the backend servers ran.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request } from "undici";
import type { RunRecord } from "../standin/backend-server.js";
import type { Fleet } from "./fleet.js";
import { waitFor } from "./wait-for.js";

/** One send as its caller saw it. */
export interface SendRecord {
    readonly requestId: string;
    readonly method: string;
    readonly host: string;
    readonly startMs: number;
    readonly endMs: number;
    readonly result: SendResult;
}

/** What a caller received. */
export type SendResult =
    /** A whole answer of a backend server. */
    | { readonly kind: "answered"; readonly status: number; readonly answeredId: string; readonly replayed: boolean; }
    /** A numbered result of a node. */
    | { readonly kind: "problem"; readonly status: number; readonly code: number; readonly execution: string; }
    /** No connection could be opened. */
    | { readonly kind: "unreached"; }
    /** The connection failed or the message was aborted. */
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
    /** Body of a POST; one that names the request when absent. */
    readonly body?: string;
}

const RATE_EXCEEDED = 2001;
const RATE_PAUSE_MS = 50;

/** Sends requests from the address of the callers and keeps a record of each. */
export class RecordingCaller {
    readonly records: SendRecord[] = [];
    private agent: Agent;

    private constructor(private readonly localAddress: string) {
        this.agent = this.createAgent();
    }

    static create(localAddress: string): RecordingCaller {
        return new RecordingCaller(localAddress);
    }

    /** Sends one request; resolves also when it failed. */
    async send(options: SendOptions): Promise<SendRecord> {
        const startMs = Date.now();
        const result = await this.exchange(options);
        const { requestId, method, host } = options;
        const record = { requestId, method, host, startMs, endMs: Date.now(), result };
        this.records.push(record);
        return record;
    }

    /** Sends one request, again while its organisation has no tokens at the node; for tests of other things than rates. */
    async sendWithinRate(options: SendOptions): Promise<SendRecord> {
        for (;;) {
            const record = await this.send(options);
            if (record.result.kind !== "problem" || record.result.code !== RATE_EXCEEDED) {
                return record;
            }
            await sleep(RATE_PAUSE_MS);
        }
    }

    /** Drops all connections. */
    async close(): Promise<void> {
        await this.agent.destroy();
        this.agent = this.createAgent();
    }

    private createAgent(): Agent {
        return new Agent({ connections: 128, pipelining: 1, localAddress: this.localAddress });
    }

    private async exchange(options: SendOptions): Promise<SendResult> {
        try {
            const answer = await request(options.url, {
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
            const body = parseBody(await answer.body.text());
            if (String(answer.headers["content-type"]).startsWith("application/problem")) {
                const { code, execution } = body;
                return { kind: "problem", status: answer.statusCode, code: code ?? 0, execution: String(execution) };
            }
            return {
                kind: "answered",
                status: answer.statusCode,
                answeredId: String(body.requestId),
                replayed: answer.headers["idempotency-replayed"] !== undefined,
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

/** A body that does not parse although its message was complete belongs to no request. */
function parseBody(text: string): { requestId?: string; code?: number; execution?: string; } {
    try {
        return JSON.parse(text) as { requestId?: string; };
    }
    catch {
        return { requestId: "(incomplete body in a complete message)" };
    }
}

/** Waits until the logs of the backend servers, which come by pipes, show every request that was answered. */
export async function waitForLogs(fleet: Fleet, sends: readonly SendRecord[]): Promise<void> {
    const answered = sends.filter(({ result }) => result.kind === "answered").map(({ requestId }) => requestId);
    await waitFor(() => {
        const ended = new Set(fleet.runRecords().filter(run => run.event === "end").map(run => run.requestId));
        return answered.every(requestId => ended.has(requestId));
    }, "the logs show every request that was answered");
}

/** How one run contradicts what a caller received; an empty list is what is wanted. */
export function findContradictions(sends: readonly SendRecord[], runs: readonly RunRecord[]): string[] {
    const found: string[] = [];
    const starts = countByName(runs.filter(run => run.event === "start"));
    const ends = countByName(runs.filter(run => run.event === "end"));
    for (const [requestId, records] of groupById(sends)) {
        const name = `${records[0]!.method} ${requestId}`;
        const started = starts.get(name) ?? 0;
        if (records[0]!.method === "POST" && started > 1) {
            found.push(`${requestId} ran ${started} times`);
        }
        const isNotRun = records.every(({ result }) => result.kind === "problem" && result.execution === "not-run");
        if (isNotRun && started > 0) {
            found.push(`${requestId} was said not to have run, and ran ${started} times`);
        }
        for (const { result } of records) {
            if (result.kind === "answered" && result.answeredId !== requestId) {
                found.push(`${requestId} got the answer to ${result.answeredId}`);
            }
            if (result.kind === "answered" && (ends.get(name) ?? 0) === 0) {
                found.push(`${requestId} was answered and did not run`);
            }
        }
    }
    return found;
}

function countByName(runs: readonly RunRecord[]): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { method, requestId } of runs) {
        const name = `${method} ${requestId}`;
        counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    return counts;
}

function groupById(sends: readonly SendRecord[]): Map<string, SendRecord[]> {
    const groups = new Map<string, SendRecord[]>();
    for (const send of sends) {
        groups.set(send.requestId, [...groups.get(send.requestId) ?? [], send]);
    }
    return groups;
}
