/**
 * Structured log on standard output. Its rate and its buffer are bounded, and requests never wait for it.
 */
import type { Clock } from "@radishrouter/core";
import { pino } from "pino";
import type { DestinationStream, Logger } from "pino";
import { LogRateLimiter } from "./log-rate-limiter.js";

/** Fields of a line; callers' keys are never logged. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Options of the log. */
export interface RequestLogOptions {
    /** Maximum number of lines per second about decisions on requests. */
    readonly decisionLinesPerSecond: number;
    /** Number of successful requests of which one is written. */
    readonly successSampleInterval: number;
    readonly host: string;
}

/** Lines per second that are reserved for each event while other events use up the shared limit. */
const RESERVED_LINES_PER_SECOND = 2;
/** Output is buffered up to this size before it is written. */
const BUFFER_BYTES = 8_192;
/** Maximum output that waits for a slow reader; lines beyond it are dropped. */
const MAXIMUM_PENDING_BYTES = 1_048_576;
const FLUSH_INTERVAL_MS = 1_000;

/**
 * Writes one JSON line for each event. Lines about requests are limited in rate, with a small reserve for each event so
 * that frequent events cannot crowd out rare ones. Omitted lines are counted by event.
 */
export class RequestLog {
    private readonly shared: LogRateLimiter;
    private readonly reserved = new Map<string, LogRateLimiter>();
    private readonly omitted = new Map<string, number>();
    private successCount = 0;

    private constructor(
        private readonly clock: Clock,
        private readonly options: RequestLogOptions,
        private readonly logger: Logger,
        private readonly flushOutput: () => void,
    ) {
        this.shared = LogRateLimiter.create(clock, options.decisionLinesPerSecond);
    }

    /** Creates a log on standard output, or on the stream given. */
    static create(clock: Clock, options: RequestLogOptions, stream?: DestinationStream): RequestLog {
        const output = stream ?? pino.destination({
            fd: 1,
            sync: false,
            minLength: BUFFER_BYTES,
            maxLength: MAXIMUM_PENDING_BYTES,
            periodicFlush: FLUSH_INTERVAL_MS,
        });
        const logger = pino({ base: { host: options.host }, timestamp: pino.stdTimeFunctions.isoTime }, output);
        const flush = () => {
            if ("flushSync" in output && typeof output.flushSync === "function") {
                output.flushSync();
            }
        };
        return new RequestLog(clock, options, logger, flush);
    }

    /** Logs a change of the process or of its view of other components; not limited in rate. */
    event(event: string, fields: LogFields = {}): void {
        this.logger.info({ event, ...fields });
    }

    /** Logs a problem with a component that the process depends on; not limited in rate. */
    problem(event: string, fields: LogFields = {}): void {
        this.logger.warn({ event, ...fields });
    }

    /** Logs a successful request; only a sample is written. */
    served(fields: LogFields): void {
        this.successCount++;
        if (this.successCount % this.options.successSampleInterval === 0) {
            this.decision("request-served", { ...fields, sampledOneIn: this.options.successSampleInterval });
        }
    }

    /** Logs a decision about one request, within the rate limits. */
    decision(event: string, fields: LogFields): void {
        const reserved = this.reservedLimiterOf(event);
        if (!this.shared.hasToken() && !reserved.hasToken()) {
            this.omitted.set(event, (this.omitted.get(event) ?? 0) + 1);
            return;
        }
        this.shared.take();
        reserved.take();
        this.writeOmitted();
        this.logger.info({ event, ...fields });
    }

    /** Writes the buffered lines synchronously, before the process exits. */
    flush(): void {
        this.flushOutput();
    }

    private writeOmitted(): void {
        if (this.omitted.size === 0) {
            return;
        }
        const events = Object.fromEntries(this.omitted);
        const count = [...this.omitted.values()].reduce((sum, omitted) => sum + omitted, 0);
        this.omitted.clear();
        this.logger.info({ event: "lines-omitted", count, events });
    }

    private reservedLimiterOf(event: string): LogRateLimiter {
        let reserved = this.reserved.get(event);
        if (!reserved) {
            const perSecond = Math.min(RESERVED_LINES_PER_SECOND, this.options.decisionLinesPerSecond);
            reserved = LogRateLimiter.create(this.clock, perSecond);
            this.reserved.set(event, reserved);
        }
        return reserved;
    }
}
