/**
 * Decides whether a process goes on after an error that no code handled.
 *
 * One such error concerns one request or connection, and ending the process would cut off all others. Many in a short
 * time show that the process itself is damaged, so that it ends, with its requests answered, and is started again.
 */
import type { Clock } from "@radishrouter/core";
import type { RequestLog } from "./request-log.js";

/** Where an unhandled error was noticed. */
export type ErrorOrigin = "uncaughtException" | "unhandledRejection";

const MAXIMUM_ERRORS = 20;
const WINDOW_MS = 60_000;

/** Logs unhandled errors and counts them. */
export class UnexpectedErrorGuard {
    private errorTimesMs: number[] = [];

    private constructor(private readonly clock: Clock, private readonly log: RequestLog) {}

    static create(clock: Clock, log: RequestLog): UnexpectedErrorGuard {
        return new UnexpectedErrorGuard(clock, log);
    }

    /** Logs an error; returns whether the process has to end. */
    mustEndAfter(error: unknown, origin: ErrorOrigin): boolean {
        const nowMs = this.clock.nowMs();
        this.errorTimesMs = this.errorTimesMs.filter(atMs => nowMs - atMs < WINDOW_MS);
        this.errorTimesMs.push(nowMs);
        const problem = error instanceof Error ? error.stack ?? error.message : String(error);
        this.log.problem("unexpected-error", { origin, problem, errorsInLastMinute: this.errorTimesMs.length });
        return this.errorTimesMs.length > MAXIMUM_ERRORS;
    }
}
