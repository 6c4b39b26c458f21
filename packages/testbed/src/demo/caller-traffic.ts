/**
 * Callers of the demo: steady traffic of every organisation, a surge of one, and counts of the results.
 */
import { Pool } from "undici";
import { z } from "zod";

const TICK_MS = 25;
const CONNECTIONS_PER_NODE = 64;
const MS_PER_SECOND = 1000;

const problemSchema = z.object({ code: z.number(), execution: z.string() });

/** One request to send. */
export interface CallerRequest {
    readonly method: "GET" | "POST";
    readonly target: string;
    readonly key?: string;
    /** Value of `x-request-id`, which backend servers log. */
    readonly requestId: string;
}

/** Result of a request: a response of a backend server, a problem response of a node, or no response. */
export type CallerResult =
    | { readonly kind: "answered"; readonly status: number; }
    | { readonly kind: "problem"; readonly status: number; readonly code: number; readonly execution: string; }
    | { readonly kind: "none"; readonly reason: string; };

/** Sends requests to nodes and counts their results. */
export class CallerTraffic {
    /** Requests sent so far. */
    sent = 0;
    private readonly pools = new Map<string, Pool>();
    private readonly completed = new Map<string, number>();
    private readonly refused = new Map<string, number>();
    private readonly running = new Set<Promise<unknown>>();
    private nextNode = 0;
    private noResponses = 0;

    private constructor(private nodeUrls: readonly string[]) {}

    static create(nodeUrls: readonly string[]): CallerTraffic {
        return new CallerTraffic(nodeUrls);
    }

    /** Number of requests that got no response. */
    get noResponseCount(): number {
        return this.noResponses;
    }

    /** Number of responses with a status below 400 for an organisation. */
    completedCount(organisation: string): number {
        return this.completed.get(organisation) ?? 0;
    }

    /** Number of requests refused with a result code, for an organisation. */
    refusedCount(organisation: string, code: number): number {
        return this.refused.get(`${organisation} ${code}`) ?? 0;
    }

    /** Changes which nodes callers use. */
    setNodes(nodeUrls: readonly string[]): void {
        this.nodeUrls = nodeUrls;
    }

    /** Sends requests of an organisation at a steady rate until the signal is aborted. */
    async sendAtRate(
        organisation: string,
        options: { rate: () => number; create: (index: number) => CallerRequest; signal: AbortSignal; },
    ): Promise<void> {
        let dueRequests = Math.random();
        let index = 0;
        while (!options.signal.aborted) {
            await new Promise(resolve => setTimeout(resolve, TICK_MS));
            for (dueRequests += options.rate() * TICK_MS / MS_PER_SECOND; dueRequests >= 1; dueRequests--) {
                this.track(this.sendTo(this.chooseNode(), organisation, options.create(index++)));
            }
        }
    }

    /** Sends one request to a node and counts its result. */
    async sendTo(nodeUrl: string, organisation: string, request: CallerRequest): Promise<CallerResult> {
        this.sent++;
        const result = await this.sendRequest(nodeUrl, request);
        switch (result.kind) {
            case "answered":
                if (result.status < 400) {
                    this.completed.set(organisation, this.completedCount(organisation) + 1);
                }
                break;
            case "problem":
                this.refused.set(
                    `${organisation} ${result.code}`,
                    this.refusedCount(organisation, result.code) + 1,
                );
                break;
            case "none":
                this.noResponses++;
                break;
        }
        return result;
    }

    /** Resolves when every request in flight has its result. */
    async waitForResponses(): Promise<void> {
        await Promise.all(this.running);
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await Promise.all([...this.pools.values()].map(pool => pool.close()));
    }

    private track(task: Promise<unknown>): void {
        this.running.add(task);
        void task.finally(() => this.running.delete(task));
    }

    private chooseNode(): string {
        return this.nodeUrls[this.nextNode++ % this.nodeUrls.length]!;
    }

    private async sendRequest(nodeUrl: string, request: CallerRequest): Promise<CallerResult> {
        try {
            const response = await this.poolOf(nodeUrl).request({
                method: request.method,
                path: request.target,
                headers: {
                    "x-request-id": request.requestId,
                    ...(request.key === undefined ? {} : { authorization: `Bearer ${request.key}` }),
                },
                body: request.method === "POST" ? JSON.stringify({ note: request.requestId }) : undefined,
            });
            if (response.headers["content-type"] === "application/problem+json") {
                const { code, execution } = problemSchema.parse(await response.body.json());
                return { kind: "problem", status: response.statusCode, code, execution };
            }
            await response.body.dump();
            return { kind: "answered", status: response.statusCode };
        }
        catch (error) {
            return { kind: "none", reason: String(error) };
        }
    }

    private poolOf(nodeUrl: string): Pool {
        let pool = this.pools.get(nodeUrl);
        if (!pool) {
            pool = new Pool(nodeUrl, { connections: CONNECTIONS_PER_NODE });
            this.pools.set(nodeUrl, pool);
        }
        return pool;
    }
}
