import assert from "node:assert/strict";
import { after, afterEach, before, describe, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { ports } from "../fleet/addresses.js";
import { ENTRY, FaultFleet } from "../fleet/fault-fleet.js";
import { waitFor } from "../fleet/wait-for.js";

const BOOKING_INTERVAL_MS = 10;
const BOOKINGS = 60;

describe("two faults at the same time", () => {
    let faults: FaultFleet;

    before(async () => {
        faults = await FaultFleet.create({ servers: 3, behaviour: { serviceMs: 20 }, deadlineMs: 4_000 });
    });
    afterEach(() => faults.fleet.setProxyRules([]));
    after(() => faults.stop());

    /**
     * Sends bookings and reads while faults are injected, retries the unanswered bookings that have an idempotency key
     * after the recovery, and compares the results with the run records.
     */
    async function checkBookings(prefix: string, injectFaults: () => Promise<void>, recover: () => Promise<void>) {
        const hosts = [ENTRY, "server-2"];
        const pending = [];
        const injected = sleep(BOOKINGS * BOOKING_INTERVAL_MS / 3).then(injectFaults);
        for (let number = 0; number < BOOKINGS; number++) {
            const requestId = `${prefix}-${number}`;
            const idempotencyKey = number % 2 === 0 ? requestId : undefined;
            pending.push(faults.book(hosts[number % 3 === 0 ? 1 : 0]!, requestId, { idempotencyKey }));
            pending.push(faults.read(ENTRY, `${requestId}-read`));
            await sleep(BOOKING_INTERVAL_MS);
        }
        await injected;
        const records = await Promise.all(pending);
        await recover();
        assert.ok(records.some(({ result }) => result.kind === "answered"));
        const unresolved = records.filter(({ requestId, result }) =>
            result.kind !== "answered" && /-\d*[02468]$/.test(requestId)
        );
        for (const { requestId } of unresolved) {
            const { result } = await faults.book("server-2", requestId, { idempotencyKey: requestId });
            assert.ok(result.kind === "answered" || (result.kind === "problem" && result.execution === "unknown"));
        }
        assert.deepEqual(await faults.findContradictions(), []);
    }

    test("a backend server is killed while connections between nodes are reset", async () => {
        const { fleet } = faults;
        await checkBookings("reset", async () => {
            await fleet.host("server-0").backend.kill();
            await fleet.setProxyRules([{ ports: [ports.forward], fault: "reset" }]);
        }, () => fleet.restartBackend("server-0"));
    });

    test("a node is killed while the connections to another node carry no more data", async () => {
        const { fleet } = faults;
        const to = [fleet.proxiedAddressOf("server-1")];
        await checkBookings("silent", async () => {
            await fleet.host("server-0").node.kill();
            await fleet.setProxyRules([{ to, ports: [ports.forward], fault: "silence" }]);
        }, () => restartNode("server-0"));
    });

    test("a node shuts down gracefully while another is paused", async () => {
        const { fleet } = faults;
        await checkBookings("pause", async () => {
            fleet.host("server-0").node.signal("SIGTERM");
            fleet.host("server-1").node.signal("SIGSTOP");
            await sleep(1_500);
            fleet.host("server-1").node.signal("SIGCONT");
        }, async () => {
            await fleet.host("server-0").node.waitForExit();
            await restartNode("server-0");
        });
    });

    async function restartNode(name: string): Promise<void> {
        await faults.fleet.restartNode(name);
        await faults.fleet.waitForConfiguration(name);
        await waitFor(
            async () => (await faults.read(name, "warm")).result.kind === "answered",
            `${name} serves requests`,
        );
    }
});
