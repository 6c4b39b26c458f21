/**
 * Child processes that tests, benches and the demo start.
 */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { createInterface } from "node:readline";

/** One child process whose output lines are recorded. */
export class Child {
    /** Lines that the process wrote to its standard output since it started. */
    readonly lines: string[] = [];
    /** Lines that the process wrote to its standard error, such as logs. */
    readonly errorLines: string[] = [];
    /** Resolves when the process has printed the line `ready`; rejects when it exits before. */
    readonly ready: Promise<void>;
    private readonly exited: Promise<void>;

    private constructor(private readonly process: ChildProcess, name: string) {
        this.exited = new Promise(resolve => process.once("exit", () => resolve()));
        this.ready = new Promise((resolve, reject) => {
            createInterface({ input: process.stdout! }).on("line", line => {
                this.lines.push(line);
                if (line === "ready") {
                    resolve();
                }
            });
            createInterface({ input: process.stderr! }).on("line", line => this.errorLines.push(line));
            process.once(
                "exit",
                code =>
                    reject(new Error(`${name} exited with ${code} before it was ready: ${this.errorLines.join(" ")}`)),
            );
        });
        this.ready.catch(() => undefined);
    }

    /** Starts a Node.js script as a child process. */
    static create(name: string, script: string, args: readonly string[], env: Record<string, string> = {}): Child {
        const child = spawn(process.execPath, [script, ...args], {
            stdio: ["ignore", "pipe", "pipe"],
            env: { ...process.env, ...env },
        });
        return new Child(child, name);
    }

    /** Process id; undefined when the process could not be started. */
    get pid(): number | undefined {
        return this.process.pid;
    }

    /** Whether the process is still running. */
    get isRunning(): boolean {
        return this.process.exitCode === undefined || (!this.process.exitCode && !this.process.signalCode);
    }

    /** Exit code; undefined while the process runs and when a signal ended it. */
    get exitCode(): number | undefined {
        return this.process.exitCode ?? undefined;
    }

    /** Sends a signal to the process. */
    signal(signal: NodeJS.Signals): void {
        this.process.kill(signal);
    }

    /** Resolves when the process has ended. */
    waitForExit(): Promise<void> {
        return this.exited;
    }

    /** Kills the process and waits until it has ended. */
    async kill(): Promise<void> {
        this.process.kill("SIGKILL");
        await this.exited;
    }
}
