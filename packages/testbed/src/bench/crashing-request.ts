/**
 * Scenario `crashing-request`: repeatedly sends a request that crashes each backend server that runs it, while other,
 * harmless requests are sent.
 */
import { ENTRY, FaultFleet } from "../fleet/fault-fleet.js";
import type { Measures, Scenario } from "./scenario.js";

const SERVERS = 5;
const CRASHING_ATTEMPTS = 40;
const REQUEST_QUARANTINED = 2009;

async function run(): Promise<Measures> {
    const faults = await FaultFleet.create({ servers: SERVERS, directBackends: true, behaviour: { serviceMs: 40 } });
    try {
        const hosts = [ENTRY, ...faults.servers];
        const stopTraffic = faults.startTraffic({ hosts, intervalMs: 5, prefix: "innocent" });
        let quarantined = 0;
        for (let number = 0; number < CRASHING_ATTEMPTS; number++) {
            const host = hosts[number % hosts.length]!;
            const url = `${faults.fleet.callerUrl(host)}/back/book/crash`;
            const options = { url, headers: { "x-crash": "1" }, body: "the same each time" };
            const { result } = await faults.book(host, `crash-${number}`, options);
            quarantined += result.kind === "problem" && result.code === REQUEST_QUARANTINED ? 1 : 0;
        }
        const lostServers = faults.servers.filter(server => !faults.fleet.host(server).backend.isRunning).length;
        await stopTraffic();
        const harmlessAttempts = faults.caller.records.filter(attempt => attempt.requestId.startsWith("innocent"));
        const count = (condition: (attempt: (typeof harmlessAttempts)[number]) => boolean) =>
            harmlessAttempts.filter(condition).length;
        return {
            backends_lost: lostServers,
            crashing_sent: CRASHING_ATTEMPTS,
            crashing_refused: quarantined,
            innocent_sent: harmlessAttempts.length,
            innocent_refused: count(({ result }) => result.kind === "problem" && result.code === REQUEST_QUARANTINED),
            innocent_reads_lost: count(({ method, result }) => method === "GET" && result.kind !== "answered"),
            innocent_books_unknown: count(({ method, result }) => method === "POST" && result.kind !== "answered"),
        };
    }
    finally {
        await faults.stop();
    }
}

/** Counts the backend servers that a crashing request takes down, and the attempts that quarantine refuses. */
export const crashingRequestScenario: Scenario = {
    name: "crashing-request",
    description: "repeatedly sends a request that crashes backend servers; counts the servers that crashed",
    run,
};
