import { ManualClock } from "@radishrouter/core";
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { test } from "node:test";
import { RequestLog } from "../index.js";

interface WrittenLine {
    readonly event: string;
    readonly count?: number;
    readonly events?: Readonly<Record<string, number>>;
    readonly sampledOneIn?: number;
}

function createLog(clock: ManualClock): { readonly log: RequestLog; readonly lines: WrittenLine[]; } {
    const lines: WrittenLine[] = [];
    const stream = { write: (text: string) => void lines.push(JSON.parse(text) as WrittenLine) };
    const options = { host: "a", decisionLinesPerSecond: 10, successSampleInterval: 100 };
    return { log: RequestLog.create(clock, options, stream), lines };
}

test("lines about requests are limited in rate, and omitted lines are counted", () => {
    const clock = ManualClock.create();
    const { log, lines } = createLog(clock);
    for (let request = 0; request < 500; request++) {
        log.decision("request-ended", { request: String(request) });
    }
    assert.equal(lines.length, 10);
    clock.advance(1_000);
    log.decision("request-ended", { request: "later" });
    const omitted = lines.find(({ event }) => event === "lines-omitted");
    assert.equal(omitted?.count, 490);
});

test("lines about state changes are written even while lines about requests are omitted", () => {
    const { log, lines } = createLog(ManualClock.create());
    for (let request = 0; request < 500; request++) {
        log.decision("request-ended", {});
    }
    log.event("peer-lost", { peer: "10.0.0.2" });
    assert.equal(lines.at(-1)?.event, "peer-lost");
});

test("a sample of the successful requests is written", () => {
    const { log, lines } = createLog(ManualClock.create());
    for (let request = 0; request < 300; request++) {
        log.served({ request: String(request) });
    }
    assert.deepEqual(lines.map(({ sampledOneIn }) => sampledOneIn), [100, 100, 100]);
});

test("a reader that does not read standard output does not block the process", async () => {
    const script = `
        import { SystemClock } from "@radishrouter/core";
        import { RequestLog } from "@radishrouter/mesh";
        const options = { host: "a", decisionLinesPerSecond: 20, successSampleInterval: 100 };
        const log = RequestLog.create(SystemClock.create(), options);
        for (let line = 0; line < 50_000; line++) {
            log.event("peer-lost", { peer: "10.0.0.2", text: "x".repeat(100) });
        }
        process.stderr.write("done", () => process.kill(process.pid, "SIGKILL"));
    `;
    const child = spawn(process.execPath, ["--input-type=module", "--eval", script], {
        cwd: import.meta.dirname,
        stdio: ["ignore", "pipe", "pipe"],
    });
    child.stdout.pause();
    let errors = "";
    child.stderr.on("data", chunk => errors += String(chunk));
    await new Promise(resolve => child.once("exit", resolve));
    assert.equal(errors, "done");
});

test("a rare event is written while a frequent one is omitted, and omitted lines are counted by event", () => {
    const clock = ManualClock.create();
    const { log, lines } = createLog(clock);
    for (let request = 0; request < 500; request++) {
        log.decision("request-ended", { request: String(request) });
    }
    log.decision("forwarded-request-late", { request: "late" });
    assert.equal(lines.at(-1)?.event, "forwarded-request-late");
    const omitted = lines.find(({ event }) => event === "lines-omitted");
    assert.deepEqual(omitted?.events, { "request-ended": 490 });
});
