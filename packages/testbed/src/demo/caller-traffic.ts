/**
 * Callers of the demo: steady traffic of every organisation, a surge of one, and a count of every answer.
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

/** What a caller got. */
export type CallerAnswer =
    | { readonly kind: "answered"; readonly status: number; }
    | { readonly kind: "problem"; readonly status: number; readonly code: number; readonly execution: string; }
    | { readonly kind: "none"; readonly reason: string; };

/** Sends requests to nodes and counts what came back. */
export class CallerTraffic {
    /** Requests sent so far. */
    sent = 0;
    private readonly pools = new Map<string, Pool>();
    private readonly completed = new Map<string, number>();
    private readonly refused = new Map<string, number>();
    private readonly running = new Set<Promise<unknown>>();
    private nextNode = 0;
    private unanswered = 0;

    private constructor(private nodeUrls: readonly string[]) {}

    static create(nodeUrls: readonly string[]): CallerTraffic {
        return new CallerTraffic(nodeUrls);
    }

    /** Requests without any answer. */
    get unansweredCount(): number {
        return this.unanswered;
    }

    /** Answers with a status below 400 for an organisation. */
    completedOf(organisation: string): number {
        return this.completed.get(organisation) ?? 0;
    }

    /** Refusals with a result code for an organisation. */
    refusedOf(organisation: string, code: number): number {
        return this.refused.get(`${organisation} ${code}`) ?? 0;
    }

    /** Changes which nodes callers use. */
    setNodes(nodeUrls: readonly string[]): void {
        this.nodeUrls = nodeUrls;
    }

    /** Sends requests of an organisation at a steady rate until the signal is aborted. */
    async keepSending(
        organisation: string,
        options: { rate: () => number; create: (index: number) => CallerRequest; signal: AbortSignal; },
    ): Promise<void> {
        let due = Math.random();
        let index = 0;
        while (!options.signal.aborted) {
            await new Promise(resolve => setTimeout(resolve, TICK_MS));
            for (due += options.rate() * TICK_MS / MS_PER_SECOND; due >= 1; due--) {
                this.track(this.sendTo(this.chooseNode(), organisation, options.create(index++)));
            }
        }
    }

    /** Sends one request to a node and counts its answer. */
    async sendTo(nodeUrl: string, organisation: string, request: CallerRequest): Promise<CallerAnswer> {
        this.sent++;
        const answer = await this.exchange(nodeUrl, request);
        switch (answer.kind) {
            case "answered":
                if (answer.status < 400) {
                    this.completed.set(organisation, this.completedOf(organisation) + 1);
                }
                break;
            case "problem":
                this.refused.set(
                    `${organisation} ${answer.code}`,
                    this.refusedOf(organisation, answer.code) + 1,
                );
                break;
            case "none":
                this.unanswered++;
                break;
        }
        return answer;
    }

    /** Resolves when every request has its answer. */
    async settle(): Promise<void> {
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

    private async exchange(nodeUrl: string, request: CallerRequest): Promise<CallerAnswer> {
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
