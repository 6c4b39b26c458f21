/**
 * Ends the process of a node in order, once, whatever asks for it: requests that it serves are answered first.
 */
import type { RequestLog } from "./request-log.js";

/** Exit code of a process. */
export enum ExitCode {
    Stopped = 0,
    /** The node could not start or stop, or too many errors show that its process is damaged. */
    Failed = 1,
}

/** What ends, and how. */
export interface OrderlyExitOptions {
    readonly log: RequestLog;
    /** Stops the node; resolves when no request is open. */
    readonly stop: (cause: string) => Promise<void>;
    /** Time that a stop may take. */
    readonly limitMs: number;
    readonly exit: (exitCode: ExitCode) => void;
}

/** The end of a process, which is begun at most once. */
export class OrderlyExit {
    private hasBegun = false;

    private constructor(private readonly options: OrderlyExitOptions) {}

    static create(options: OrderlyExitOptions): OrderlyExit {
        return new OrderlyExit(options);
    }

    /** Stops the node and exits; a further call changes nothing. */
    begin(cause: string, exitCode: ExitCode): void {
        if (!this.hasBegun) {
            this.hasBegun = true;
            void this.stopAndExit(cause, exitCode);
        }
    }

    private async stopAndExit(cause: string, exitCode: ExitCode): Promise<void> {
        const { log, stop, limitMs, exit } = this.options;
        let limit: NodeJS.Timeout | undefined;
        const timedOut = new Promise<never>((_, reject) => {
            limit = setTimeout(() => reject(new Error(`the stop took longer than ${limitMs} ms`)), limitMs);
        });
        try {
            await Promise.race([stop(cause), timedOut]);
            exit(exitCode);
        }
        catch (error) {
            log.problem("stop-failed", {
                problem: error instanceof Error ? error.stack ?? error.message : String(error),
            });
            log.flush();
            exit(ExitCode.Failed);
        }
        finally {
            clearTimeout(limit);
        }
    }
}
