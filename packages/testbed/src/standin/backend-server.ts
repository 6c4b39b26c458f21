/**
 * Stand-in for a backend server: takes a configured time per request, makes downstream calls through its node, and
 * records the requests that it runs.
 */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { Pool } from "undici";
import { z } from "zod";

/** Behaviour of a stand-in backend server; can be changed while it runs. */
export const backendBehaviourSchema = z.object({
    /** Time that a request takes in addition to its downstream calls. */
    serviceMs: z.number().min(0).default(2),
    /** Requests that run concurrently; further requests wait, so that latency grows with load. */
    slots: z.number().int().positive().default(64),
    /** Targets of the downstream calls that each request makes, one after another, such as `/items/search`. */
    onwardCalls: z.array(z.string()).default([]),
    /**
     * `hang`: accepts requests and never responds; `truncate`: closes the connection before the declared length of the
     * response is reached; `unframed`: closes it halfway through a response that has neither a content length nor
     * chunked encoding.
     */
    mode: z.enum(["normal", "hang", "truncate", "unframed"]).default("normal"),
    /** Bytes of padding in each response, in addition to its description of the request. */
    answerBytes: z.number().int().min(0).default(0),
    /** `brief` omits the headers from run records, `none` writes no run records; both are for runs with high load. */
    records: z.enum(["full", "brief", "none"]).default("full"),
});

/** Behaviour of a stand-in backend server; see {@link backendBehaviourSchema}. */
export type BackendBehaviour = z.infer<typeof backendBehaviourSchema>;

/** Run record: one line of output for the start or end of a request on a backend server. */
export const runRecordSchema = z.object({
    event: z.enum(["start", "end"]),
    host: z.string(),
    /** Value of the `x-request-id` header that the caller chose. */
    requestId: z.string(),
    method: z.string(),
    path: z.string(),
    timeMs: z.number(),
    /** Headers of the request, for checks of what reaches backend servers; empty in `end` records. */
    headers: z.record(z.string(), z.unknown()),
});

/** Run record; see {@link runRecordSchema}. */
export type RunRecord = z.infer<typeof runRecordSchema>;

/** Addresses of a stand-in backend server and of its node, and its initial behaviour. */
export interface BackendOptions {
    readonly host: string;
    readonly address: string;
    readonly port: number;
    readonly nodeAddress: string;
    readonly nodePort: number;
    readonly behaviour: BackendBehaviour;
}

/** Time for which a draining server still accepts connections, each of which it closes after one response. */
const DRAIN_MS = 1_000;
/** Header that makes the server process exit when it starts to run the request. */
const CRASH_HEADER = "x-crash";

/** A backend server that runs in its own process. */
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

    /** Listens for requests on the port and for changes of behaviour on the next port. */
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
        const cancellation = new AbortController();
        response.once("close", () => cancellation.abort());
        await this.acquireSlot();
        try {
            if (cancellation.signal.aborted) {
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
            const receivedBytes = await countBytes(request);
            if (this.behaviour.serviceMs > 0) {
                await sleep(this.behaviour.serviceMs, undefined, { signal: cancellation.signal });
            }
            const status = await this.makeDownstreamCalls(request, cancellation.signal);
            this.answer(request, response, status, receivedBytes);
            this.record("end", request);
        }
        finally {
            this.releaseSlot();
        }
    }

    private answer(request: IncomingMessage, response: ServerResponse, status: number, receivedBytes: number): void {
        const description = JSON.stringify({
            host: this.options.host,
            requestId: request.headers["x-request-id"],
            path: request.url,
            received: receivedBytes,
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

    private async makeDownstreamCalls(request: IncomingMessage, signal: AbortSignal): Promise<number> {
        for (const target of this.behaviour.onwardCalls) {
            const downstreamResponse = await this.node.request({
                method: "GET",
                path: target,
                signal,
                headers: {
                    "radishrouter-handle": String(request.headers["radishrouter-handle"]),
                    "x-request-id": String(request.headers["x-request-id"]),
                },
            });
            await downstreamResponse.body.dump();
            if (downstreamResponse.statusCode >= 400) {
                return downstreamResponse.statusCode === 503 ? 503 : 502;
            }
        }
        return 200;
    }

    private async acquireSlot(): Promise<void> {
        if (this.running >= this.behaviour.slots) {
            await new Promise<void>(resolve => this.waiting.push(resolve));
        }
        this.running++;
    }

    private releaseSlot(): void {
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
        // The schema fills in defaults for absent properties, so it parses the merged behaviour, not the change alone.
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
