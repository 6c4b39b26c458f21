/**
 * Structured log on standard output: bounded, and never waited for.
 */
import type { Clock } from "@radishrouter/core";
import { pino } from "pino";
import type { DestinationStream, Logger } from "pino";
import { LogRateLimiter } from "./log-rate-limiter.js";

/** Fields of a line; keys of callers are never among them. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Bounds of the log. */
export interface RequestLogOptions {
    /** Lines a second for decisions about requests. */
    readonly decisionLinesPerSecond: number;
    /** One line is written for this many requests that went well. */
    readonly successSampleInterval: number;
    readonly host: string;
}

/** Lines a second that each event may write while others use up the lines for decisions. */
const RESERVED_LINES_PER_SECOND = 2;
const BUFFER_BYTES = 8_192;
/** Output that a reader did not take yet; what exceeds it is dropped. */
const PENDING_BYTES = 1_048_576;
const FLUSH_MS = 1_000;

/**
 * Writes one JSON line for each event. Lines about requests are limited in rate, with a small reserve for each event, so
 * that a rare one is not left out because of a frequent one; what is left out is counted.
 */
export class RequestLog {
    private readonly shared: LogRateLimiter;
    private readonly reserved = new Map<string, LogRateLimiter>();
    private readonly omitted = new Map<string, number>();
    private successes = 0;

    private constructor(
        private readonly clock: Clock,
        private readonly options: RequestLogOptions,
        private readonly logger: Logger,
        private readonly flushOutput: () => void,
    ) {
        this.shared = LogRateLimiter.create(clock, options.decisionLinesPerSecond);
    }

    /** A log on standard output, or on a stream of the caller's. */
    static create(clock: Clock, options: RequestLogOptions, stream?: DestinationStream): RequestLog {
        const output = stream ?? pino.destination({
            fd: 1,
            sync: false,
            minLength: BUFFER_BYTES,
            maxLength: PENDING_BYTES,
            periodicFlush: FLUSH_MS,
        });
        const logger = pino({ base: { host: options.host }, timestamp: pino.stdTimeFunctions.isoTime }, output);
        const flush = () => {
            if ("flushSync" in output && typeof output.flushSync === "function") {
                output.flushSync();
            }
        };
        return new RequestLog(clock, options, logger, flush);
    }

    /** A change of what the process believes, or of the process itself. */
    event(event: string, fields: LogFields = {}): void {
        this.logger.info({ event, ...fields });
    }

    /** A problem with something that the process depends on. */
    problem(event: string, fields: LogFields = {}): void {
        this.logger.warn({ event, ...fields });
    }

    /** A request that went well; only a sample is written. */
    served(fields: LogFields): void {
        this.successes++;
        if (this.successes % this.options.successSampleInterval === 0) {
            this.decision("request-served", { ...fields, sampledOneIn: this.options.successSampleInterval });
        }
    }

    /** A decision about one request. */
    decision(event: string, fields: LogFields): void {
        const reserved = this.reservedFor(event);
        if (!this.shared.hasLeft() && !reserved.hasLeft()) {
            this.omitted.set(event, (this.omitted.get(event) ?? 0) + 1);
            return;
        }
        this.shared.take();
        reserved.take();
        this.writeOmitted();
        this.logger.info({ event, ...fields });
    }

    /** Writes out what is buffered; for the end of the process. */
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

    private reservedFor(event: string): LogRateLimiter {
        let reserved = this.reserved.get(event);
        if (!reserved) {
            const perSecond = Math.min(RESERVED_LINES_PER_SECOND, this.options.decisionLinesPerSecond);
            reserved = LogRateLimiter.create(this.clock, perSecond);
            this.reserved.set(event, reserved);
        }
        return reserved;
    }
}
