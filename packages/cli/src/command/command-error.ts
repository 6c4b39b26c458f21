/**
 * Errors that end a command.
 */

/** Exit codes of the command-line tool. */
export const exitCodes = {
    success: 0,
    /** The command ran and found a problem, such as an error in a file or a request that would be refused. */
    problem: 1,
    /** The command line is invalid. */
    usage: 2,
    /** Some nodes did not respond, so the result is incomplete. */
    incomplete: 3,
} as const;

/** Ends a command with a message on stderr and an exit code. */
export class CommandError extends Error {
    private constructor(message: string, readonly exitCode: number) {
        super(message);
        this.name = "CommandError";
    }

    static create(message: string, exitCode: number = exitCodes.problem): CommandError {
        return new CommandError(message, exitCode);
    }
}
