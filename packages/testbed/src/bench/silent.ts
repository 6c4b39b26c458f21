/**
 * Scenario `silent`: under load, stops all traffic on the open connections between nodes and then on those to backend
 * servers, without closing them.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { ports } from "../fleet/addresses.js";
import { ENTRY, FaultFleet } from "../fleet/fault-fleet.js";
import type { Measures, Scenario } from "./scenario.js";

const SERVERS = 3;
const ROUNDS = 3;
const ROUND_MS = 5_000;
const DEADLINE_MS = 20_000;

async function run(): Promise<Measures> {
    const faults = await FaultFleet.create({ servers: SERVERS, deadlineMs: DEADLINE_MS, behaviour: { serviceMs: 20 } });
    try {
        const hosts = [ENTRY, ...faults.servers];
        const stopTraffic = faults.startTraffic({ hosts, intervalMs: 5, prefix: "silent" });
        const to = faults.servers.map(server => faults.fleet.proxiedAddressOf(server));
        for (let round = 0; round < ROUNDS; round++) {
            for (const port of [ports.forward, ports.backendServer]) {
                await sleep(ROUND_MS);
                await faults.fleet.setProxyRules([{ to, ports: [port], fault: "silence" }]);
            }
        }
        await sleep(ROUND_MS);
        await stopTraffic();
        const attempts = faults.caller.records.filter(attempt => attempt.requestId.startsWith("silent"));
        const reads = attempts.filter(({ method }) => method === "GET");
        const bookings = attempts.filter(({ method }) => method === "POST");
        const contradictions = await faults.findContradictions();
        return {
            sent: attempts.length,
            detected_ms: Math.max(...reads.map(attempt => attempt.endMs - attempt.startMs)),
            lost_idempotent: reads.filter(({ result }) => result.kind !== "answered").length,
            doubled_non_idempotent: contradictions.filter(text => text.includes(" ran ")).length,
            unknown_non_idempotent: bookings.filter(({ result }) => result.kind !== "answered").length,
            contradictions: contradictions.length,
        };
    }
    finally {
        await faults.stop();
    }
}

/** Measures how fast unresponsive connections are detected and which requests are lost or duplicated. */
export const silentScenario: Scenario = {
    name: "silent",
    description: "stops traffic on open connections; measures the slowest read and counts lost and duplicate requests",
    run,
};
