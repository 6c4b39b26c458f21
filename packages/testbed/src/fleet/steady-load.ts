/**
 * Sends requests of one organisation at a constant rate, regardless of their outcomes.
 */
import { Pool } from "undici";

/** Requests that a load sends. */
export interface SteadyLoadOptions {
    readonly organisation: string;
    readonly key: string;
    /** Requests per second. */
    readonly perSecond: number;
    /** URLs of the nodes, which get the requests in round-robin order. */
    readonly urls: readonly string[];
    readonly path: string;
    /** Local address of the caller. */
    readonly localAddress: string;
}

/** Counts of requests by outcome. */
export interface LoadCounts {
    offered: number;
    completed: number;
    /** Refused because of the rate limit. */
    rateLimited: number;
    /** Ended with any other status or with an error. */
    other: number;
}

const TICK_MS = 10;
const REQUEST_TIMEOUT_MS = 5_000;

/** Open-loop load generator; request ids start with the organisation's name. */
export class SteadyLoad {
    private readonly pools: readonly Pool[];
    private readonly open = new Set<Promise<void>>();
    private readonly timer: NodeJS.Timeout;
    private readonly startedAtMs = performance.now();
    private sent = 0;
    private counts: LoadCounts = createCounts();

    private constructor(private readonly options: SteadyLoadOptions) {
        this.pools = options.urls.map(url =>
            new Pool(url, {
                connections: 64,
                connect: { localAddress: options.localAddress },
                headersTimeout: REQUEST_TIMEOUT_MS,
                bodyTimeout: REQUEST_TIMEOUT_MS,
            })
        );
        this.timer = setInterval(() => this.sendDueRequests(), TICK_MS);
    }

    static create(options: SteadyLoadOptions): SteadyLoad {
        return new SteadyLoad(options);
    }

    get organisation(): string {
        return this.options.organisation;
    }

    /** Returns the current counts, which requests in flight still update, and starts new ones. */
    takeCounts(): LoadCounts {
        const counts = this.counts;
        this.counts = createCounts();
        return counts;
    }

    /** Stops sending and waits for the requests in flight. */
    async stop(): Promise<void> {
        clearInterval(this.timer);
        await Promise.allSettled(this.open);
        await Promise.all(this.pools.map(pool => pool.destroy()));
    }

    private sendDueRequests(): void {
        const dueCount = Math.floor((performance.now() - this.startedAtMs) * this.options.perSecond / 1000);
        while (this.sent < dueCount) {
            const pending = this.send(this.sent++, this.counts);
            this.open.add(pending);
            void pending.finally(() => this.open.delete(pending));
        }
    }

    private async send(number: number, counts: LoadCounts): Promise<void> {
        const { organisation, key, path } = this.options;
        counts.offered++;
        try {
            const response = await this.pools[number % this.pools.length]!.request({
                method: "GET",
                path,
                headers: { authorization: `Bearer ${key}`, "x-request-id": `${organisation}-${number}` },
            });
            await response.body.dump();
            counts.completed += response.statusCode === 200 ? 1 : 0;
            counts.rateLimited += response.statusCode === 429 ? 1 : 0;
            counts.other += response.statusCode === 200 || response.statusCode === 429 ? 0 : 1;
        }
        catch {
            counts.other++;
        }
    }
}

function createCounts(): LoadCounts {
    return { offered: 0, completed: 0, rateLimited: 0, other: 0 };
}
