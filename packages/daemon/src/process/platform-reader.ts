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

/** Time after which the platform ends a long poll without a new value. */
const LONG_POLL_MS = 10_000;
/** Timeout of a long poll in this node, longer than the platform's so that it ends only calls without a response. */
const RESPONSE_TIMEOUT_MS = 12_000;
const FIRST_RETRY_DELAY_MS = 250;
const MAXIMUM_RETRY_DELAY_MS = 3_000;

/** Collaborators and settings of a reader. */
export interface PlatformReaderOptions {
    readonly clock: Clock;
    readonly url: string;
    readonly localAddress: string;
    readonly random?: () => number;
}

/** Callbacks of a watch. */
export interface WatchHandlers {
    readonly onValue: (value: PlatformValue) => void;
    /** Called when the platform sent a value that cannot be parsed, such as an incomplete document. */
    readonly onInvalid?: (problem: string) => void;
}

/** The platform sent a value that cannot be parsed. */
class InvalidValueError extends Error {
    private constructor(message: string) {
        super(message);
        this.name = "InvalidValueError";
    }

    static create(cause: unknown): InvalidValueError {
        return new InvalidValueError(cause instanceof Error ? cause.message : String(cause));
    }
}

/** Watches values of the platform; each watch keeps one long poll open. */
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

    /** Reports each revision of a value until the reader is closed or the signal is aborted. */
    async watch(key: string, handlers: WatchHandlers, signal?: AbortSignal): Promise<void> {
        const stopSignal = signal ? AbortSignal.any([signal, this.controller.signal]) : this.controller.signal;
        let revision = -1;
        let failures = 0;
        while (!stopSignal.aborted) {
            try {
                const value = await this.read(key, revision, stopSignal);
                failures = 0;
                if (value && !stopSignal.aborted) {
                    revision = value.revision;
                    handlers.onValue(value);
                }
            }
            catch (error) {
                if (error instanceof InvalidValueError) {
                    handlers.onInvalid?.(error.message);
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
            path: `/v1/values/${encodeURIComponent(key)}?after=${after}&timeoutMs=${LONG_POLL_MS}`,
            signal,
            headersTimeout: RESPONSE_TIMEOUT_MS,
            bodyTimeout: RESPONSE_TIMEOUT_MS,
        });
        if (response.statusCode === 204) {
            await response.body.dump();
            return undefined;
        }
        if (response.statusCode !== 200) {
            await response.body.dump();
            throw new Error(`the platform responded with status ${response.statusCode} in place of 200 or 204`);
        }
        const text = await response.body.text();
        try {
            return platformValueSchema.parse(JSON.parse(text));
        }
        catch (error) {
            throw InvalidValueError.create(error);
        }
    }

    /** Exponential backoff with jitter, so that nodes do not all retry at the same time. */
    private retryDelayMs(failures: number): number {
        const delayMs = Math.min(FIRST_RETRY_DELAY_MS * 2 ** failures, MAXIMUM_RETRY_DELAY_MS);
        return delayMs * (0.5 + this.random() / 2);
    }
}
