/**
 * Stand-in for a backend server: takes its time, calls further services through its node, and logs what it ran.
 */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { Pool } from "undici";
import { z } from "zod";

/** How a stand-in backend server behaves; can be changed while it runs. */
export const backendBehaviourSchema = z.object({
    /** Time that a request takes besides its onward calls. */
    serviceMs: z.number().min(0).default(2),
    /** Requests that run at once; more wait, so that latency grows with load. */
    slots: z.number().int().positive().default(64),
    /** Targets that each request calls in turn, such as `/items/search`. */
    onwardCalls: z.array(z.string()).default([]),
    /**
     * `hang`: accepts and never answers; `truncate`: ends answers early; `unframed`: ends them early and gives neither a
     * length nor chunks.
     */
    mode: z.enum(["normal", "hang", "truncate", "unframed"]).default("normal"),
    /** Bytes of each answer besides its description. */
    answerBytes: z.number().int().min(0).default(0),
    /** `brief` leaves the headers out and `none` the records, for runs with much load. */
    records: z.enum(["full", "brief", "none"]).default("full"),
});

/** How a stand-in backend server behaves; see {@link backendBehaviourSchema}. */
export type BackendBehaviour = z.infer<typeof backendBehaviourSchema>;

/** One line of what a backend server ran. */
export const runRecordSchema = z.object({
    event: z.enum(["start", "end"]),
    host: z.string(),
    /** Value of the `x-request-id` header that the caller chose. */
    requestId: z.string(),
    method: z.string(),
    path: z.string(),
    timeMs: z.number(),
    /** Header names of the request, for checks of what reaches backend servers. */
    headers: z.record(z.string(), z.unknown()),
});

/** One line of what a backend server ran; see {@link runRecordSchema}. */
export type RunRecord = z.infer<typeof runRecordSchema>;

/** Where a stand-in backend server listens and where its node is. */
export interface BackendOptions {
    readonly host: string;
    readonly address: string;
    readonly port: number;
    readonly nodeAddress: string;
    readonly nodePort: number;
    readonly behaviour: BackendBehaviour;
}

/** Time for which a server that is to stop answers on new connections and closes each after its answer. */
const DRAIN_MS = 1_000;
const CRASH_HEADER = "x-crash";

/** A backend server of its own process. */
export class StandInBackend {
    private behaviour: BackendBehaviour;
    private running = 0;
    private draining = false;
    private readonly waiting: (() => void)[] = [];
    private readonly node: Pool;

    private constructor(private readonly options: BackendOptions) {
        this.behaviour = options.behaviour;
        this.node = new Pool(`http://${options.nodeAddress}:${options.nodePort}`, { connections: 256 });
    }

    static create(options: BackendOptions): StandInBackend {
        return new StandInBackend(options);
    }

    /** Starts listening: requests on the port, changes of behaviour on the next. */
    async start(): Promise<void> {
        const server = createServer((request, response) => {
            this.serve(request, response).catch(() => response.destroy());
        });
        server.keepAliveTimeout = 60_000;
        const control = createServer((request, response) => {
            void this.handleControl(request, response);
        });
        await listen(server, this.options.port, this.options.address);
        await listen(control, this.options.port + 1, this.options.address);
        process.once("SIGTERM", () => {
            this.draining = true;
            setTimeout(() => server.close(() => process.exit(0)), DRAIN_MS);
        });
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const cancelled = new AbortController();
        response.once("close", () => cancelled.abort());
        await this.enter();
        try {
            if (cancelled.signal.aborted) {
                return;
            }
            this.record("start", request);
            if (request.headers[CRASH_HEADER] !== undefined) {
                process.exit(1);
            }
            if (this.behaviour.mode === "hang") {
                await new Promise(resolve => response.once("close", resolve));
                return;
            }
            const received = await countBytes(request);
            if (this.behaviour.serviceMs > 0) {
                await sleep(this.behaviour.serviceMs, undefined, { signal: cancelled.signal });
            }
            const status = await this.callOnward(request, cancelled.signal);
            this.answer(request, response, status, received);
            this.record("end", request);
        }
        finally {
            this.leave();
        }
    }

    private answer(request: IncomingMessage, response: ServerResponse, status: number, received: number): void {
        const description = JSON.stringify({
            host: this.options.host,
            requestId: request.headers["x-request-id"],
            path: request.url,
            received,
        });
        const body = description + " ".repeat(this.behaviour.answerBytes);
        if (this.draining) {
            response.setHeader("connection", "close");
        }
        const length = Buffer.byteLength(body) + (this.behaviour.mode === "truncate" ? 10 : 0);
        if (this.behaviour.mode === "unframed") {
            request.socket.end(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${body.slice(0, body.length / 2)}`);
            return;
        }
        response.writeHead(status, { "content-type": "application/json", "content-length": length });
        if (this.behaviour.mode === "truncate") {
            response.write(body, () => response.destroy());
            return;
        }
        response.end(body);
    }

    private async callOnward(request: IncomingMessage, signal: AbortSignal): Promise<number> {
        for (const target of this.behaviour.onwardCalls) {
            const answer = await this.node.request({
                method: "GET",
                path: target,
                signal,
                headers: {
                    "radishrouter-handle": String(request.headers["radishrouter-handle"]),
                    "x-request-id": String(request.headers["x-request-id"]),
                },
            });
            await answer.body.dump();
            if (answer.statusCode >= 400) {
                return answer.statusCode === 503 ? 503 : 502;
            }
        }
        return 200;
    }

    private async enter(): Promise<void> {
        if (this.running >= this.behaviour.slots) {
            await new Promise<void>(resolve => this.waiting.push(resolve));
        }
        this.running++;
    }

    private leave(): void {
        this.running--;
        this.waiting.shift()?.();
    }

    private record(event: RunRecord["event"], request: IncomingMessage): void {
        if (this.behaviour.records === "none") {
            return;
        }
        const record: RunRecord = {
            event,
            host: this.options.host,
            requestId: String(request.headers["x-request-id"] ?? ""),
            method: request.method ?? "",
            path: request.url ?? "",
            timeMs: Date.now(),
            headers: event === "start" && this.behaviour.records === "full" ? request.headers : {},
        };
        process.stdout.write(`${JSON.stringify(record)}\n`);
    }

    private async handleControl(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const chunks: Buffer[] = [];
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
        const change = z.record(z.string(), z.unknown()).parse(JSON.parse(Buffer.concat(chunks).toString() || "{}"));
        // The schema fills in defaults, so it sees the whole behaviour and not just the change.
        this.behaviour = backendBehaviourSchema.parse({ ...this.behaviour, ...change });
        response.end(JSON.stringify(this.behaviour));
    }
}

function listen(server: Server, port: number, address: string): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, address, resolve);
    });
}

async function countBytes(request: IncomingMessage): Promise<number> {
    let bytes = 0;
    for await (const chunk of request) {
        bytes += (chunk as Buffer).length;
    }
    return bytes;
}
