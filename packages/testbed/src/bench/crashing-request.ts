/**
 * Sends a request that crashes each backend server that runs it again and again, beside innocent requests.
 */
import { ENTRY, FaultFleet } from "../fleet/fault-fleet.js";
import type { Measures, Scenario } from "./scenario.js";

const SERVERS = 5;
const CRASHING_SENDS = 40;
const REQUEST_QUARANTINED = 2009;

async function run(): Promise<Measures> {
    const faults = await FaultFleet.create({ servers: SERVERS, directBackends: true, behaviour: { serviceMs: 40 } });
    try {
        const names = [ENTRY, ...faults.servers];
        const stopTraffic = faults.startTraffic({ hosts: names, intervalMs: 5, prefix: "innocent" });
        let refused = 0;
        for (let number = 0; number < CRASHING_SENDS; number++) {
            const host = names[number % names.length]!;
            const url = `${faults.fleet.callerUrl(host)}/back/book/crash`;
            const options = { url, headers: { "x-crash": "1" }, body: "the same each time" };
            const { result } = await faults.book(host, `crash-${number}`, options);
            refused += result.kind === "problem" && result.code === REQUEST_QUARANTINED ? 1 : 0;
        }
        const lost = faults.servers.filter(server => !faults.fleet.host(server).backend.isRunning).length;
        await stopTraffic();
        const innocents = faults.caller.records.filter(send => send.requestId.startsWith("innocent"));
        const count = (condition: (send: (typeof innocents)[number]) => boolean) => innocents.filter(condition).length;
        return {
            backends_lost: lost,
            crashing_sent: CRASHING_SENDS,
            crashing_refused: refused,
            innocent_sent: innocents.length,
            innocent_refused: count(({ result }) => result.kind === "problem" && result.code === REQUEST_QUARANTINED),
            innocent_reads_lost: count(({ method, result }) => method === "GET" && result.kind !== "answered"),
            innocent_books_unknown: count(({ method, result }) => method === "POST" && result.kind !== "answered"),
        };
    }
    finally {
        await faults.stop();
    }
}

/** A request that crashes backend servers. */
export const crashingRequest: Scenario = {
    name: "crashing-request",
    description: "sends a request that crashes backend servers again and again; counts servers lost",
    run,
};
