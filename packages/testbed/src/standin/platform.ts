/**
 * Stand-in for the platform: values that can be read and watched, with faults on demand.
 */
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";

/** How the platform answers readers. */
export const platformFaultSchema = z.enum(["none", "down", "stale"]);

/** How the platform answers readers; see {@link platformFaultSchema}. */
export type PlatformFault = z.infer<typeof platformFaultSchema>;

interface StoredValue {
    readonly revision: number;
    readonly value: unknown;
}

interface WaitingRead {
    readonly after: number;
    readonly key: string;
    readonly response: ServerResponse;
    readonly timer: NodeJS.Timeout;
}

/** Values, waiting reads and the fault in force. */
export class StandInPlatform {
    private readonly values = new Map<string, StoredValue>();
    private visible = new Map<string, StoredValue>();
    private readonly waiting = new Set<WaitingRead>();
    private fault: PlatformFault = "none";
    private nextRevision = 1;
    private reads = 0;

    private constructor() {}

    static create(): StandInPlatform {
        return new StandInPlatform();
    }

    /** Calls that readers made; a waiting watch counts as one. */
    get readCount(): number {
        return this.reads;
    }

    /** Publishes a value, as the operators' publishing step does. */
    publish(key: string, value: unknown): void {
        this.values.set(key, { revision: this.nextRevision++, value });
        if (this.fault !== "stale") {
            this.visible = new Map(this.values);
            this.answerWaiting();
        }
    }

    /** Sets the fault in force; `stale` keeps showing the values of this moment. */
    setFault(fault: PlatformFault): void {
        this.fault = fault;
        if (fault !== "stale") {
            this.visible = new Map(this.values);
        }
        if (fault === "down") {
            for (const read of this.waiting) {
                read.response.destroy();
            }
        }
        this.answerWaiting();
    }

    /** Answers one read. */
    handleRead(request: IncomingMessage, response: ServerResponse): void {
        const url = new URL(request.url ?? "/", "http://platform");
        const key = decodeURIComponent(url.pathname.replace("/v1/values/", ""));
        this.reads++;
        if (this.fault === "down") {
            response.destroy();
            return;
        }
        const after = Number(url.searchParams.get("after") ?? -1);
        const timeoutMs = Number(url.searchParams.get("timeoutMs") ?? 0);
        const timer = setTimeout(() => this.finish(read, 204), timeoutMs);
        const read: WaitingRead = { after, key, response, timer };
        this.waiting.add(read);
        response.once("close", () => this.finish(read, 204));
        this.answerWaiting();
    }

    private answerWaiting(): void {
        for (const read of this.waiting) {
            const stored = this.visible.get(read.key);
            if (stored && stored.revision > read.after) {
                this.finish(read, 200, stored);
            }
        }
    }

    private finish(read: WaitingRead, status: number, stored?: StoredValue): void {
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

/** Starts the platform: readers on one port, the publishing step and faults on the next. */
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
