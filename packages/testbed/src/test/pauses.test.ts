import assert from "node:assert/strict";
import { after, afterEach, before, describe, test } from "node:test";
import { ENTRY, FaultFleet } from "../fleet/fault-fleet.js";

const SERVER = "server-0";
const DEADLINE_MS = 700;
const REQUEST_COUNT = 6;
const DEADLINE_TOO_NEAR = 2003;

describe("a node that resumes after a pause", () => {
    let faults: FaultFleet;

    before(async () => {
        faults = await FaultFleet.create({ servers: 2 });
    });
    afterEach(() => {
        faults.fleet.host(SERVER).node.signal("SIGCONT");
    });
    after(() => faults.stop());

    function startsAfter(timeMs: number, prefix: string) {
        return faults.fleet.runRecords().filter(run =>
            run.event === "start" && run.timeMs >= timeMs && run.requestId.startsWith(prefix)
        );
    }

    test("runs no request whose deadline has passed, and reports it correctly as not run", async () => {
        const { fleet } = faults;
        const headers = { "deadline-ms": String(DEADLINE_MS) };
        await faults.read(SERVER, "before");
        fleet.host(SERVER).node.signal("SIGSTOP");
        const direct = Array.from(
            { length: REQUEST_COUNT },
            (_, number) => faults.book(SERVER, `direct-${number}`, { headers }),
        );
        const forwarded = Array.from(
            { length: REQUEST_COUNT },
            (_, number) => faults.book(ENTRY, `forwarded-${number}`, { headers }),
        );
        await Promise.all(forwarded);
        await new Promise(resolve => setTimeout(resolve, 2 * DEADLINE_MS));
        const resumedAtMs = Date.now();
        fleet.host(SERVER).node.signal("SIGCONT");
        for (const { result } of await Promise.all(direct)) {
            assert.ok(result.kind === "problem" && result.execution === "not-run", JSON.stringify(result));
        }
        await faults.waitForTokens(SERVER);
        assert.deepEqual(startsAfter(resumedAtMs, "direct"), []);
        assert.deepEqual(startsAfter(resumedAtMs, "forwarded"), []);
        assert.deepEqual(await faults.findContradictions(), []);
    });

    test("starts no request of callers that disconnected while it was paused", async () => {
        const { fleet, caller } = faults;
        await faults.read(SERVER, "before");
        fleet.host(SERVER).node.signal("SIGSTOP");
        const pending = Array.from({ length: REQUEST_COUNT }, (_, number) => faults.read(SERVER, `left-${number}`));
        await new Promise(resolve => setTimeout(resolve, DEADLINE_MS));
        await caller.close();
        await Promise.all(pending);
        await new Promise(resolve => setTimeout(resolve, DEADLINE_MS));
        const resumedAtMs = Date.now();
        fleet.host(SERVER).node.signal("SIGCONT");
        await faults.waitForTokens(SERVER);
        await faults.read(SERVER, "after");
        assert.deepEqual(startsAfter(resumedAtMs, "left"), []);
    });
});

describe("a node that resumes after a pause, with an organisation at its rate", () => {
    let faults: FaultFleet;

    before(async () => {
        faults = await FaultFleet.create({ servers: 1, rate: 2 });
    });
    after(() => faults.stop());

    test("reports a passed deadline, and takes no token for it", async () => {
        const { fleet, caller, key } = faults;
        const url = `${fleet.callerUrl(SERVER)}/back/book/1`;
        fleet.host(SERVER).node.signal("SIGSTOP");
        const pending = Array.from({ length: REQUEST_COUNT }, (_, number) =>
            caller.send({
                host: SERVER,
                url,
                method: "POST",
                key,
                requestId: `late-${number}`,
                headers: { "deadline-ms": String(DEADLINE_MS) },
            }));
        await new Promise(resolve => setTimeout(resolve, 3 * DEADLINE_MS));
        fleet.host(SERVER).node.signal("SIGCONT");
        for (const { result } of await Promise.all(pending)) {
            assert.ok(result.kind === "problem" && result.code === DEADLINE_TOO_NEAR, JSON.stringify(result));
        }
    });
});
