/**
 * Reads and watches values of the platform.
 */
import type { Clock } from "@radishrouter/core";
import { delay } from "@radishrouter/core";
import { Pool } from "undici";
import { z } from "zod";

/** One value of the platform. */
export const platformValueSchema = z.object({
    revision: z.number().int(),
    value: z.unknown(),
});

/** One value of the platform; see {@link platformValueSchema}. */
export type PlatformValue = z.infer<typeof platformValueSchema>;

const WATCH_TIMEOUT_MS = 10_000;
const SILENT_TIMEOUT_MS = 12_000;
const FIRST_RETRY_DELAY_MS = 250;
const MAXIMUM_RETRY_DELAY_MS = 3_000;

/** Parts and settings of a reader. */
export interface PlatformReaderOptions {
    readonly clock: Clock;
    readonly url: string;
    readonly localAddress: string;
    readonly random?: () => number;
}

/** What to do with what a watch yields. */
export interface WatchHandlers {
    readonly onValue: (value: PlatformValue) => void;
    /** Called when the platform sent something that is no value, such as a torn document. */
    readonly onCorrupt?: (problem: string) => void;
}

/** The platform answered with something that is no value. */
class CorruptValueError extends Error {
    private constructor(message: string) {
        super(message);
        this.name = "CorruptValueError";
    }

    static create(cause: unknown): CorruptValueError {
        return new CorruptValueError(cause instanceof Error ? cause.message : String(cause));
    }
}

/** Watches values of the platform; each watch holds one waiting call. */
export class PlatformReader {
    private readonly controller = new AbortController();
    private readonly random: () => number;

    private constructor(private readonly clock: Clock, private readonly pool: Pool, random?: () => number) {
        this.random = random ?? Math.random;
    }

    static create(options: PlatformReaderOptions): PlatformReader {
        const pool = new Pool(options.url, { connect: { timeout: 1_000 }, localAddress: options.localAddress });
        return new PlatformReader(options.clock, pool, options.random);
    }

    /** Calls back with each revision of a value until the reader is closed or the signal aborted. */
    async watch(key: string, handlers: WatchHandlers, signal?: AbortSignal): Promise<void> {
        const stop = signal ? AbortSignal.any([signal, this.controller.signal]) : this.controller.signal;
        let revision = -1;
        let failures = 0;
        while (!stop.aborted) {
            try {
                const value = await this.read(key, revision, stop);
                failures = 0;
                if (value && !stop.aborted) {
                    revision = value.revision;
                    handlers.onValue(value);
                }
            }
            catch (error) {
                if (error instanceof CorruptValueError) {
                    handlers.onCorrupt?.(error.message);
                }
                await delay(this.clock, this.retryDelayMs(failures++));
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
            headersTimeout: SILENT_TIMEOUT_MS,
            bodyTimeout: SILENT_TIMEOUT_MS,
        });
        if (response.statusCode === 204) {
            await response.body.dump();
            return undefined;
        }
        if (response.statusCode !== 200) {
            await response.body.dump();
            throw new Error(`the platform answered ${response.statusCode}`);
        }
        const text = await response.body.text();
        try {
            return platformValueSchema.parse(JSON.parse(text));
        }
        catch (error) {
            throw CorruptValueError.create(error);
        }
    }

    /** Grows with each failure in a row, and differs between nodes so that they do not come back together. */
    private retryDelayMs(failures: number): number {
        const delayMs = Math.min(FIRST_RETRY_DELAY_MS * 2 ** failures, MAXIMUM_RETRY_DELAY_MS);
        return delayMs * (0.5 + this.random() / 2);
    }
}
