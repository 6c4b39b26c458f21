import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { test } from "node:test";
import { ProcessSignals } from "../index.js";
import type { SignalHandlers } from "../index.js";

function createHandlers(calls: string[]): SignalHandlers {
    return {
        stop: signal => void calls.push(`stop ${signal}`),
        stopAgain: signal => void calls.push(`again ${signal}`),
        reload: () => void calls.push("reload"),
    };
}

test("a stop is begun once, and its further signals never reach the runtime's default action", () => {
    const source = new EventEmitter();
    const calls: string[] = [];
    ProcessSignals.create(source).handle(createHandlers(calls));
    const signals = ["SIGHUP", "SIGTERM", "SIGTERM", "SIGINT", "SIGHUP", "SIGTERM"];
    const heard = signals.map(signal => source.emit(signal));
    assert.deepEqual(heard, signals.map(() => true));
    assert.deepEqual(calls, ["reload", "stop SIGTERM", "again SIGTERM", "again SIGINT", "reload", "again SIGTERM"]);
});

test("signals that come while the program is still loading are handled once it can", () => {
    const source = new EventEmitter();
    const signals = ProcessSignals.create(source);
    assert.ok(["SIGHUP", "SIGHUP", "SIGINT"].every(signal => source.emit(signal)));
    const calls: string[] = [];
    signals.handle(createHandlers(calls));
    assert.deepEqual(calls, ["reload", "stop SIGINT"]);
});
