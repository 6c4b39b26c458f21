/**
 * Sends requests of one organisation at a steady rate, whatever becomes of them.
 */
import { Pool } from "undici";

/** What a load sends. */
export interface SteadyLoadOptions {
    readonly organisation: string;
    readonly key: string;
    /** Requests per second. */
    readonly perSecond: number;
    /** URLs of nodes, each of which gets the next request in turn. */
    readonly urls: readonly string[];
    readonly path: string;
    /** Local address of the caller. */
    readonly localAddress: string;
}

/** What became of requests. */
export interface LoadCounts {
    offered: number;
    completed: number;
    /** Refused because of the rate. */
    overRate: number;
    /** Ended in another way. */
    other: number;
}

const TICK_MS = 10;
const REQUEST_TIMEOUT_MS = 5_000;

/** Open-loop load; request ids start with the organisation's name. */
export class SteadyLoad {
    private readonly pools: readonly Pool[];
    private readonly open = new Set<Promise<void>>();
    private readonly timer: NodeJS.Timeout;
    private readonly startedMs = performance.now();
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
        this.timer = setInterval(() => this.sendDue(), TICK_MS);
    }

    static create(options: SteadyLoadOptions): SteadyLoad {
        return new SteadyLoad(options);
    }

    get organisation(): string {
        return this.options.organisation;
    }

    /** Starts to count anew and returns the counters of the requests that were sent before. */
    takeCounts(): LoadCounts {
        const counts = this.counts;
        this.counts = createCounts();
        return counts;
    }

    /** Stops sending and waits for the requests on the way. */
    async stop(): Promise<void> {
        clearInterval(this.timer);
        await Promise.allSettled(this.open);
        await Promise.all(this.pools.map(pool => pool.destroy()));
    }

    private sendDue(): void {
        const due = Math.floor((performance.now() - this.startedMs) * this.options.perSecond / 1000);
        while (this.sent < due) {
            const sending = this.send(this.sent++, this.counts);
            this.open.add(sending);
            void sending.finally(() => this.open.delete(sending));
        }
    }

    private async send(number: number, counts: LoadCounts): Promise<void> {
        const { organisation, key, path } = this.options;
        counts.offered++;
        try {
            const answer = await this.pools[number % this.pools.length]!.request({
                method: "GET",
                path,
                headers: { authorization: `Bearer ${key}`, "x-request-id": `${organisation}-${number}` },
            });
            await answer.body.dump();
            counts.completed += answer.statusCode === 200 ? 1 : 0;
            counts.overRate += answer.statusCode === 429 ? 1 : 0;
            counts.other += answer.statusCode === 200 || answer.statusCode === 429 ? 0 : 1;
        }
        catch {
            counts.other++;
        }
    }
}

function createCounts(): LoadCounts {
    return { offered: 0, completed: 0, overRate: 0, other: 0 };
}
