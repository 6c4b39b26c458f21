import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { ENTRY, FaultFleet } from "../fleet/fault-fleet.js";
import { waitFor } from "../fleet/wait-for.js";

const REQUEST_QUARANTINED = 2009;
const INNOCENT_REQUESTS = 6;

describe("a request that crashes each backend server that runs it", () => {
    let faults: FaultFleet;
    let names: string[];

    before(async () => {
        faults = await FaultFleet.create({ servers: 4, directBackends: true, behaviour: { serviceMs: 150 } });
        names = [ENTRY, ...faults.servers];
    });
    after(() => faults.stop());

    function crash(host: string, requestId: string, method: "GET" | "POST") {
        const url = `${faults.fleet.callerUrl(host)}/back/${method === "GET" ? "read" : "book"}/crash`;
        const options = { url, headers: { "x-crash": "1" }, body: "the same each time" };
        return method === "GET" ? faults.read(host, requestId, options) : faults.book(host, requestId, options);
    }

    function crashedBackends(): string[] {
        return faults.servers.filter(server => !faults.fleet.host(server).backend.isRunning);
    }

    async function restartCrashed(): Promise<void> {
        for (const server of crashedBackends()) {
            await faults.fleet.restartBackend(server);
        }
    }

    for (const method of ["GET", "POST"] as const) {
        test(`is refused at every node after two crashes, and innocent requests are served: ${method}`, async () => {
            const innocentRequests = Array.from({ length: INNOCENT_REQUESTS }, (_, number) => {
                const host = names[number % names.length]!;
                const url = `${faults.fleet.callerUrl(host)}/back/read/innocent-${method}-${number}`;
                return faults.read(host, `innocent-${method}-${number}`, { url });
            });
            for (let number = 0; number < 4; number++) {
                for (const name of names) {
                    await crash(name, `crash-${method}-${number}-${name}`, method);
                }
            }
            for (const { result } of await Promise.all(innocentRequests)) {
                assert.equal(result.kind, "answered", JSON.stringify(result));
            }
            assert.ok(
                crashedBackends().length <= 2,
                `more than 2 backend servers crashed: ${crashedBackends().join(", ")}`,
            );
            for (const name of names) {
                const { result } = await crash(name, `last-${method}-${name}`, method);
                assert.ok(result.kind === "problem" && result.code === REQUEST_QUARANTINED, JSON.stringify(result));
                assert.equal(result.execution, "not-run");
            }
            await restartCrashed();
            await waitFor(() => crashedBackends().length === 0, "all backend servers are running");
        });
    }
});
