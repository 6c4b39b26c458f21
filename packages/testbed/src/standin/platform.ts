/**
 * Stand-in for the platform: a key-value store with long polling and injected faults.
 */
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";

/**
 * Fault that the platform applies to read requests: `down` closes connections without a response, `stale` hides values
 * that are published after the fault was set.
 */
export const platformFaultSchema = z.enum(["none", "down", "stale"]);

/** Fault that the platform applies to read requests; see {@link platformFaultSchema}. */
export type PlatformFault = z.infer<typeof platformFaultSchema>;

interface StoredValue {
    readonly revision: number;
    readonly value: unknown;
}

/** A read request that waits for a newer revision of its value. */
interface WaitingRead {
    readonly afterRevision: number;
    readonly key: string;
    readonly response: ServerResponse;
    readonly timer: NodeJS.Timeout;
}

/** Stores the values, the waiting read requests and the active fault. */
export class StandInPlatform {
    private readonly values = new Map<string, StoredValue>();
    private visibleValues = new Map<string, StoredValue>();
    private readonly waiting = new Set<WaitingRead>();
    private fault: PlatformFault = "none";
    private nextRevision = 1;
    private reads = 0;

    private constructor() {}

    static create(): StandInPlatform {
        return new StandInPlatform();
    }

    /** Number of read requests received; a long poll counts once. */
    get readCount(): number {
        return this.reads;
    }

    /** Stores a value with a new revision, as operators do when they publish it. */
    publish(key: string, value: unknown): void {
        this.values.set(key, { revision: this.nextRevision++, value });
        if (this.fault !== "stale") {
            this.visibleValues = new Map(this.values);
            this.answerWaiting();
        }
    }

    /** Sets the active fault; with `stale`, readers keep getting the values that are stored now. */
    setFault(fault: PlatformFault): void {
        this.fault = fault;
        if (fault !== "stale") {
            this.visibleValues = new Map(this.values);
        }
        if (fault === "down") {
            for (const read of this.waiting) {
                read.response.destroy();
            }
        }
        this.answerWaiting();
    }

    /** Handles one read request, which waits until its value has a newer revision or its timeout has passed. */
    handleRead(request: IncomingMessage, response: ServerResponse): void {
        const url = new URL(request.url ?? "/", "http://platform");
        const key = decodeURIComponent(url.pathname.replace("/v1/values/", ""));
        this.reads++;
        if (this.fault === "down") {
            response.destroy();
            return;
        }
        const afterRevision = Number(url.searchParams.get("after") ?? -1);
        const timeoutMs = Number(url.searchParams.get("timeoutMs") ?? 0);
        const timer = setTimeout(() => this.respond(read, 204), timeoutMs);
        const read: WaitingRead = { afterRevision, key, response, timer };
        this.waiting.add(read);
        response.once("close", () => this.respond(read, 204));
        this.answerWaiting();
    }

    private answerWaiting(): void {
        for (const read of this.waiting) {
            const stored = this.visibleValues.get(read.key);
            if (stored && stored.revision > read.afterRevision) {
                this.respond(read, 200, stored);
            }
        }
    }

    private respond(read: WaitingRead, status: number, stored?: StoredValue): void {
        if (!this.waiting.delete(read)) {
            return;
        }
        clearTimeout(read.timer);
        if (!read.response.destroyed) {
            read.response.writeHead(status, { "content-type": "application/json" });
            read.response.end(stored ? JSON.stringify(stored) : undefined);
        }
    }
}

async function readJson(request: IncomingMessage): Promise<unknown> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return JSON.parse(Buffer.concat(chunks).toString("utf8") || "{}");
}

/** Starts the platform: read requests on one port, publishing and fault injection on the next. */
export async function startPlatform(address: string, port: number): Promise<void> {
    const platform = StandInPlatform.create();
    const readers = createServer((request, response) => platform.handleRead(request, response));
    const control = createServer((request, response) => {
        void handleControl(platform, request, response);
    });
    await new Promise<void>(resolve => readers.listen(port, address, resolve));
    await new Promise<void>(resolve => control.listen(port + 1, address, resolve));
}

async function handleControl(
    platform: StandInPlatform,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const path = request.url ?? "/";
    if (request.method === "PUT" && path.startsWith("/values/")) {
        platform.publish(decodeURIComponent(path.slice("/values/".length)), await readJson(request));
    }
    else if (request.method === "PUT" && path === "/fault") {
        platform.setFault(z.object({ fault: platformFaultSchema }).parse(await readJson(request)).fault);
    }
    response.setHeader("content-type", "application/json");
    response.end(JSON.stringify({ reads: platform.readCount }));
}
