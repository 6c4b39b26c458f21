/**
 * Replaces every node and every backend server one after the other while requests flow.
 */
import { ENTRY, FaultFleet } from "../fleet/fault-fleet.js";
import type { SendRecord } from "../fleet/recording-caller.js";
import type { Measures, Scenario } from "./scenario.js";

const SERVERS = 2;
const INTERVAL_MS = 5;

function isCut({ result }: SendRecord): boolean {
    return result.kind === "lost" || (result.kind === "problem" && result.execution === "unknown");
}

async function run(): Promise<Measures> {
    const faults = await FaultFleet.create({ servers: SERVERS, directBackends: true, behaviour: { serviceMs: 20 } });
    try {
        const names = [ENTRY, ...faults.servers];
        const stopTraffic = faults.startTraffic({ hosts: names, intervalMs: INTERVAL_MS, prefix: "rolling" });
        const newWorkMs: number[] = [];
        for (const name of names) {
            process.stderr.write(`replacing ${name}\n`);
            newWorkMs.push(await replaceHost(faults, name));
        }
        await stopTraffic();
        const sends = faults.caller.records.filter(send => send.requestId.startsWith("rolling"));
        sends.filter(isCut).forEach(send => process.stderr.write(`cut: ${JSON.stringify(send)}\n`));
        const count = (condition: (send: SendRecord) => boolean) => sends.filter(condition).length;
        return {
            sent: sends.length,
            answered: count(({ result }) => result.kind === "answered"),
            cut_requests: count(isCut),
            refused_not_run: count(({ result }) => result.kind === "problem" && result.execution === "not-run"),
            connection_refused: count(({ result }) => result.kind === "unreached"),
            contradictions: (await faults.findContradictions()).length,
            new_work_after_leave_ms: Math.max(...newWorkMs),
        };
    }
    finally {
        await faults.stop();
    }
}

/** Stops the node, then its backend server, starts both anew, and returns how long new work came after the signal. */
async function replaceHost(faults: FaultFleet, name: string): Promise<number> {
    const { fleet } = faults;
    const leftAtMs = Date.now();
    fleet.host(name).node.signal("SIGTERM");
    await fleet.host(name).node.waitForExit();
    const starts = fleet.runRecords().filter(run => run.host === name && run.event === "start");
    await fleet.replaceBackend(name);
    await fleet.restartNode(name);
    await fleet.waitForConfiguration(name);
    await faults.waitForRate(name);
    return Math.max(0, ...starts.map(run => run.timeMs - leftAtMs));
}

/** Rolling replacement under load. */
export const rolling: Scenario = {
    name: "rolling",
    description: "replaces every node and backend server under load; counts requests that were cut",
    run,
};
