/**
 * Structured log on standard output: bounded, and never waited for.
 */
import type { Clock } from "@radishrouter/core";
import { pino } from "pino";
import type { DestinationStream, Logger } from "pino";

/** Fields of a line; keys of callers are never among them. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Bounds of the log. */
export interface RequestLogOptions {
    /** Lines a second for decisions about requests. */
    readonly decisionLinesPerSecond: number;
    /** One line is written for this many requests that went well. */
    readonly successSample: number;
    readonly host: string;
}

const SECOND_MS = 1000;
const BUFFER_BYTES = 8_192;
/** Output that a reader did not take yet; what exceeds it is dropped. */
const PENDING_BYTES = 1_048_576;
const FLUSH_MS = 1_000;

/** Writes one JSON line for each event. Lines about requests are limited in rate; what is left out is counted. */
export class RequestLog {
    private tokens: number;
    private filledAtMs: number;
    private omitted = 0;
    private successes = 0;

    private constructor(
        private readonly clock: Clock,
        private readonly options: RequestLogOptions,
        private readonly logger: Logger,
        private readonly flushOutput: () => void,
    ) {
        this.tokens = options.decisionLinesPerSecond;
        this.filledAtMs = clock.nowMs();
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
        if (this.successes % this.options.successSample === 0) {
            this.decision("request-served", { ...fields, sampledOneIn: this.options.successSample });
        }
    }

    /** A decision about one request. */
    decision(event: string, fields: LogFields): void {
        this.fill();
        if (this.tokens < 1) {
            this.omitted++;
            return;
        }
        this.tokens--;
        if (this.omitted > 0) {
            this.logger.info({ event: "lines-omitted", count: this.omitted });
            this.omitted = 0;
        }
        this.logger.info({ event, ...fields });
    }

    /** Writes out what is buffered; for the end of the process. */
    flush(): void {
        this.flushOutput();
    }

    private fill(): void {
        const nowMs = this.clock.nowMs();
        const earned = (nowMs - this.filledAtMs) / SECOND_MS * this.options.decisionLinesPerSecond;
        this.tokens = Math.min(this.options.decisionLinesPerSecond, this.tokens + earned);
        this.filledAtMs = nowMs;
    }
}
