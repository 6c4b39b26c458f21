/**
 * Reads and watches values of the platform.
 */
import type { Clock } from "@radishrouter/core";
import { Pool } from "undici";
import { z } from "zod";

/** One value of the platform. */
export const platformValueSchema = z.object({
    revision: z.number().int(),
    value: z.unknown(),
});

/** One value of the platform; see {@link platformValueSchema}. */
export type PlatformValue = z.infer<typeof platformValueSchema>;

const WATCH_TIMEOUT_MS = 30_000;
const RETRY_DELAY_MS = 500;

/** Parts and settings of a reader. */
export interface PlatformReaderOptions {
    readonly clock: Clock;
    readonly url: string;
    readonly localAddress: string;
}

/** Watches values of the platform; each watch holds one waiting call. */
export class PlatformReader {
    private readonly controller = new AbortController();

    private constructor(private readonly clock: Clock, private readonly pool: Pool) {}

    static create(options: PlatformReaderOptions): PlatformReader {
        const pool = new Pool(options.url, { connect: { timeout: 1_000 }, localAddress: options.localAddress });
        return new PlatformReader(options.clock, pool);
    }

    /** Calls back with each revision of a value until the reader is closed or the signal aborted. */
    async watch(key: string, onValue: (value: PlatformValue) => void, signal?: AbortSignal): Promise<void> {
        let revision = -1;
        const stop = signal ? AbortSignal.any([signal, this.controller.signal]) : this.controller.signal;
        while (!stop.aborted) {
            try {
                const value = await this.read(key, revision, stop);
                if (value) {
                    revision = value.revision;
                    onValue(value);
                }
            }
            catch {
                await this.delay(RETRY_DELAY_MS);
            }
        }
    }

    /** Ends all watches. */
    async close(): Promise<void> {
        this.controller.abort();
        await this.pool.destroy();
    }

    private async read(key: string, after: number, signal: AbortSignal): Promise<PlatformValue | undefined> {
        const response = await this.pool.request({
            method: "GET",
            path: `/v1/values/${encodeURIComponent(key)}?after=${after}&timeoutMs=${WATCH_TIMEOUT_MS}`,
            signal,
            headersTimeout: WATCH_TIMEOUT_MS * 2,
        });
        if (response.statusCode === 204) {
            await response.body.dump();
            return undefined;
        }
        if (response.statusCode !== 200) {
            await response.body.dump();
            throw new Error(`the platform answered ${response.statusCode}`);
        }
        return platformValueSchema.parse(await response.body.json());
    }

    private delay(delayMs: number): Promise<void> {
        return new Promise(resolve => {
            this.clock.setTimer(delayMs, resolve);
        });
    }
}
