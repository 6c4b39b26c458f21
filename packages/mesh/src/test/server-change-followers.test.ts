/**
 * Guards against a component that fails at a change of a server and keeps those behind it, such as the state of the own
 * server, from learning of the change; each such change brought the end of the process nearer.
 */
import { ManualClock } from "@radishrouter/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { followServerChanges, RequestLog, ServerDirectory } from "../index.js";
import { createServer } from "./example-values.js";

test("a component that fails at a change keeps no other one from learning of it", async () => {
    const clock = ManualClock.create();
    const lines: string[] = [];
    const log = RequestLog.create(clock, { host: "a", decisionLinesPerSecond: 0, successSampleInterval: 1 }, {
        write: line => void lines.push(line),
    });
    const directory = ServerDirectory.create(clock);
    const learned: string[] = [];
    followServerChanges(directory, log, [
        { name: "first", apply: ({ kind }) => void learned.push(`first ${kind}`) },
        {
            name: "failing",
            apply: () => {
                throw new TypeError("no such organisation");
            },
        },
        { name: "last", apply: ({ kind }) => void learned.push(`last ${kind}`) },
    ]);
    directory.upsert(createServer("one"), "test");
    directory.remove("one", 0, "test");
    await new Promise(resolve => setImmediate(resolve));
    assert.deepEqual(learned, ["first joined", "last joined", "first left", "last left"]);
    assert.equal(lines.length, 2);
    assert.match(lines[0]!, /server-change-not-applied.*failing.*no such organisation/);
});
