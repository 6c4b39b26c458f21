/**
 * Scenario `rolling`: replaces every node and every backend server one after the other under load.
 */
import { ENTRY, FaultFleet } from "../fleet/fault-fleet.js";
import type { AttemptRecord } from "../fleet/recording-caller.js";
import type { Measures, Scenario } from "./scenario.js";

const SERVERS = 2;
const INTERVAL_MS = 5;

/** Whether the caller can't know if the request ran: its connection failed, or the result reports it as unknown. */
function isInterrupted({ result }: AttemptRecord): boolean {
    return result.kind === "lost" || (result.kind === "problem" && result.execution === "unknown");
}

async function run(): Promise<Measures> {
    const faults = await FaultFleet.create({ servers: SERVERS, directBackends: true, behaviour: { serviceMs: 20 } });
    try {
        const hosts = [ENTRY, ...faults.servers];
        const stopTraffic = faults.startTraffic({ hosts, intervalMs: INTERVAL_MS, prefix: "rolling" });
        const newWorkAfterSignalMs: number[] = [];
        for (const name of hosts) {
            process.stderr.write(`replacing ${name}\n`);
            newWorkAfterSignalMs.push(await replaceHost(faults, name));
        }
        await stopTraffic();
        const attempts = faults.caller.records.filter(attempt => attempt.requestId.startsWith("rolling"));
        attempts.filter(isInterrupted).forEach(attempt =>
            process.stderr.write(`interrupted: ${JSON.stringify(attempt)}\n`)
        );
        const count = (condition: (attempt: AttemptRecord) => boolean) => attempts.filter(condition).length;
        return {
            sent: attempts.length,
            answered: count(({ result }) => result.kind === "answered"),
            cut_requests: count(isInterrupted),
            refused_not_run: count(({ result }) => result.kind === "problem" && result.execution === "not-run"),
            connection_refused: count(({ result }) => result.kind === "unreached"),
            contradictions: (await faults.findContradictions()).length,
            new_work_after_leave_ms: Math.max(...newWorkAfterSignalMs),
        };
    }
    finally {
        await faults.stop();
    }
}

/**
 * Stops the node, then replaces its backend server and starts a new node. Returns the milliseconds from the stop
 * signal to the last start of a request on the old backend server, or 0 if none started after the signal.
 */
async function replaceHost(faults: FaultFleet, name: string): Promise<number> {
    const { fleet } = faults;
    const signalledAtMs = Date.now();
    fleet.host(name).node.signal("SIGTERM");
    await fleet.host(name).node.waitForExit();
    const requestStarts = fleet.runRecords().filter(run => run.host === name && run.event === "start");
    await fleet.restartBackendGracefully(name);
    await fleet.restartNode(name);
    await fleet.waitForConfiguration(name);
    await faults.waitForTokens(name);
    return Math.max(0, ...requestStarts.map(run => run.timeMs - signalledAtMs));
}

/** Counts the requests that a rolling replacement of nodes and backend servers interrupts. */
export const rollingScenario: Scenario = {
    name: "rolling",
    description: "replaces every node and backend server under load; counts interrupted requests",
    run,
};
