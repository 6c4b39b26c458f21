/**
 * Guards against a process that cuts off its requests when it ends by itself, and against one that never ends because its stop
 * fails or hangs.
 */
import { ManualClock } from "@radishrouter/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ExitCode, OrderlyExit, RequestLog } from "../index.js";

interface PlayedExit {
    readonly exit: OrderlyExit;
    readonly stops: string[];
    /** Resolves with the exit code. */
    readonly ended: Promise<ExitCode>;
    readonly lines: string[];
}

function createExit(stop: () => Promise<void>, limitMs = 60_000): PlayedExit {
    const lines: string[] = [];
    const stops: string[] = [];
    const options = { host: "a", decisionLinesPerSecond: 0, successSampleInterval: 1 };
    const log = RequestLog.create(ManualClock.create(), options, { write: line => void lines.push(line) });
    let resolveEnded: (exitCode: ExitCode) => void;
    const ended = new Promise<ExitCode>(resolve => {
        resolveEnded = resolve;
    });
    const exit = OrderlyExit.create({
        log,
        limitMs,
        stop: cause => {
            stops.push(cause);
            return stop();
        },
        exit: exitCode => resolveEnded(exitCode),
    });
    return { exit, stops, ended, lines };
}

test("a process ends when its requests have ended, with the exit code of what began its end", async () => {
    let endRequests = () => {};
    const requests = new Promise<void>(resolve => {
        endRequests = resolve;
    });
    const { exit, ended, stops } = createExit(() => requests);
    exit.begin("errors", ExitCode.Failed);
    exit.begin("SIGTERM", ExitCode.Stopped);
    const hasEnded = await Promise.race([ended.then(() => true), new Promise(resolve => setImmediate(resolve, false))]);
    assert.equal(hasEnded, false);
    endRequests();
    assert.equal(await ended, ExitCode.Failed);
    assert.deepEqual(stops, ["errors"]);
});

test("a process whose stop fails ends and says why", async () => {
    const { exit, ended, lines } = createExit(() => Promise.reject(new Error("the connections cannot be closed")));
    exit.begin("SIGTERM", ExitCode.Stopped);
    assert.equal(await ended, ExitCode.Failed);
    assert.match(lines[0]!, /stop-failed.*the connections cannot be closed/);
});

test("a process whose stop hangs ends at its limit", async () => {
    const { exit, ended } = createExit(() => new Promise(() => {}), 20);
    exit.begin("SIGTERM", ExitCode.Stopped);
    assert.equal(await ended, ExitCode.Failed);
});
