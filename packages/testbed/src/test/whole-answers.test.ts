import assert from "node:assert/strict";
import { after, afterEach, before, describe, test } from "node:test";
import { ports } from "../fleet/addresses.js";
import { ENTRY, FaultFleet } from "../fleet/fault-fleet.js";

const SERVER = "server-0";
const RESPONSE_BYTES = 2_000;
const REQUEST_CUT_OFFSETS = Array.from({ length: 14 }, (_, index) => index * 60);
const RESPONSE_CUT_OFFSETS = Array.from({ length: 18 }, (_, index) => index * 160);

describe("a caller gets only complete responses, and only to its own request", () => {
    let faults: FaultFleet;

    before(async () => {
        faults = await FaultFleet.create({ servers: 2, behaviour: { answerBytes: RESPONSE_BYTES } });
    });
    afterEach(async () => {
        await faults.fleet.setProxyRules([]);
        await faults.fleet.setBehaviour(SERVER, { mode: "normal", serviceMs: 2, answerBytes: RESPONSE_BYTES });
    });
    after(() => faults.stop());

    for (
        const [name, port] of [["another node", ports.forward], ["the backend server", ports.backendServer]] as const
    ) {
        for (const direction of ["requests", "answers"] as const) {
            test(`when ${direction} are cut off after various numbers of bytes on connections to ${name}`, async () => {
                const to = [faults.fleet.proxiedAddressOf(SERVER)];
                const cutOffsets = direction === "requests" ? REQUEST_CUT_OFFSETS : RESPONSE_CUT_OFFSETS;
                for (const afterBytes of cutOffsets) {
                    await faults.fleet.setProxyRules([{ to, ports: [port], fault: "cut", direction, afterBytes }]);
                    const id = `cut-${port}-${direction}-${afterBytes}`;
                    const [read] = await Promise.all([
                        faults.read(ENTRY, `${id}-read`),
                        faults.book(ENTRY, `${id}-book`),
                        faults.book(ENTRY, `${id}-keyed`, { idempotencyKey: `${id}-keyed` }),
                    ]);
                    const isTruncated = read.result.kind === "lost";
                    assert.ok(isTruncated || read.result.kind === "answered", JSON.stringify(read.result));
                }
                assert.deepEqual(await faults.findContradictions(), []);
                assert.ok(faults.caller.records.some(({ result }) => result.kind !== "answered"));
            });
        }
    }

    test("when the backend server truncates responses, also those without a content length", async () => {
        for (const mode of ["truncate", "unframed"] as const) {
            for (const server of faults.servers) {
                await faults.fleet.setBehaviour(server, { mode });
            }
            for (let number = 0; number < 6; number++) {
                const { result } = await faults.book(ENTRY, `${mode}-${number}`);
                assert.notEqual(result.kind, "answered");
                assert.ok(result.kind === "lost" || (result.kind === "problem" && result.execution === "unknown"));
            }
            for (const server of faults.servers) {
                await faults.fleet.setBehaviour(server, { mode: "normal" });
            }
        }
        assert.deepEqual(await faults.findContradictions(), []);
    });

    test("when responses are duplicated or arrive after the caller's deadline", async () => {
        await faults.fleet.setBehaviour(SERVER, { answerBytes: 0 });
        const to = [faults.fleet.proxiedAddressOf(SERVER)];
        await faults.fleet.setProxyRules([{ to, ports: [ports.backendServer], fault: "repeat" }]);
        for (let number = 0; number < 30; number++) {
            await faults.read(SERVER, `twice-${number}`);
        }
        await faults.fleet.setProxyRules([]);
        await faults.fleet.setBehaviour(SERVER, { serviceMs: 150 });
        await Promise.all(
            Array.from(
                { length: 20 },
                (_, number) =>
                    faults.book(SERVER, `late-${number}`, { headers: { "deadline-ms": String(50 + 10 * number) } }),
            ),
        );
        assert.deepEqual(await faults.findContradictions(), []);
    });
});
