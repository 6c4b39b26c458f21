import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { request } from "undici";
import { createExampleConfiguration } from "../fleet/example-configuration.js";
import { Fleet } from "../fleet/fleet.js";
import { waitFor } from "../fleet/wait-for.js";

const ROUTE_DEADLINE_MS = 600_000;
const RETRY_BUDGET = 2;
const services = ["catalogue", "accessions", "items"] as const;
const CALL_GRAPH_REQUESTS = services.length;
const routes = (["GET", "POST"] as const).map(method => ({
    method,
    path: method === "GET" ? "/read/*" : "/book/*",
    idempotent: method === "GET",
    open: false,
    importance: "normal" as const,
    deadlineMs: ROUTE_DEADLINE_MS,
}));
const example = createExampleConfiguration({
    organisations: { archive: { rate: 10_000, burst: 10_000 } },
    services: Object.fromEntries(services.map(name => [name, { routes, retryBudget: RETRY_BUDGET }])),
    failureDomains: { "khomas-a": { region: "khomas", seats: 6 } },
});
const middleHosts = ["accessions-0", "accessions-1"] as const;
const deepestHosts = ["items-0", "items-1", "items-2"] as const;

describe("a chain of three services", () => {
    let fleet: Fleet;

    before(async () => {
        const location = { failureDomain: "khomas-a", region: "khomas" };
        const hosts = [
            { ...location, name: "catalogue-0", service: "catalogue", onwardCalls: ["/accessions/read/1"] },
            ...middleHosts.map(name => ({
                ...location,
                name,
                service: "accessions",
                onwardCalls: ["/items/read/1"],
            })),
            ...deepestHosts.map(name => ({ ...location, name, service: "items", onwardCalls: [] })),
        ];
        fleet = await Fleet.create({
            hosts: hosts.map(({ onwardCalls, ...host }, seat) => ({ ...host, seat, behaviour: { onwardCalls } })),
            configuration: example.configuration,
        });
        await waitFor(async () => await send("warm-up") === 200, "the organisation has tokens");
    });

    after(() => fleet.stop());

    async function send(requestId: string, options: { signal?: AbortSignal; deadlineMs?: number; } = {}) {
        const response = await request(`${fleet.callerUrl("catalogue-0")}/catalogue/read/1`, {
            headers: {
                "authorization": `Bearer ${example.keys["archive"]}`,
                "x-request-id": requestId,
                ...(options.deadlineMs ? { "deadline-ms": String(options.deadlineMs) } : {}),
            },
            signal: options.signal,
        });
        await response.body.dump();
        return response.statusCode;
    }

    function startRecords(requestId: string) {
        return fleet.runRecords().filter(run => run.event === "start" && run.requestId === requestId);
    }

    async function setDeepestServiceMode(mode: "normal" | "hang") {
        await Promise.all(deepestHosts.map(name => fleet.setBehaviour(name, { mode })));
    }

    async function waitForIdle() {
        for (const name of fleet.hosts.keys()) {
            await waitFor(
                async () => (await fleet.status(name)).load.inFlight === 0,
                `${name} has no request in flight`,
            );
        }
    }

    test("a caller that disconnects ends its request at every hop", async () => {
        await setDeepestServiceMode("hang");
        const caller = new AbortController();
        const pending = send("cancelled", { signal: caller.signal }).catch(() => "aborted");
        await waitFor(
            () => startRecords("cancelled").some(run => run.host.startsWith("items")),
            "the deepest service runs the request",
        );
        caller.abort();
        assert.equal(await pending, "aborted");
        await waitForIdle();
    });

    test("the deadline that a caller sets ends its request at every hop", async () => {
        await setDeepestServiceMode("hang");
        // A node refuses a request whose expected duration, from its recent measurements, exceeds the remaining time.
        // The test therefore retries until a request is not refused on the way.
        let attempts = 0;
        let status: number | undefined;
        await waitFor(async () => {
            const id = `late-${++attempts}`;
            status = await send(id, { deadlineMs: 200 });
            return startRecords(id).some(run => run.host.startsWith("items"));
        }, "a request reaches the deepest service before its deadline");
        assert.equal(status, 504);
        await waitForIdle();
    });

    test("attempts along the whole chain exceed the calls of its call graph by at most the retry budget", async () => {
        await setDeepestServiceMode("hang");
        const ids = Array.from({ length: 10 }, (_, index) => `bounded-${index}`);
        await Promise.all(ids.map(id => send(id, { deadlineMs: 8_000 })));
        await waitForIdle();
        const attempts = ids.map(id => startRecords(id).length);
        assert.ok(
            Math.max(...attempts) <= CALL_GRAPH_REQUESTS + RETRY_BUDGET,
            `a request exceeded the retry budget; attempts per request: ${attempts}`,
        );
        assert.ok(
            Math.max(...attempts) > CALL_GRAPH_REQUESTS,
            `no request was retried; attempts per request: ${attempts}`,
        );
        await setDeepestServiceMode("normal");
        await waitFor(async () => await send("recovered") === 200, "the deepest service responds again");
    });

    test("an unresponsive server gets only probes, and no idempotent request is lost", async () => {
        await waitFor(async () => {
            await send("before");
            return new Set(startRecords("before").map(run => run.host)).size === fleet.hosts.size;
        }, "every server of the chain has run requests");
        await fleet.setBehaviour("items-0", { mode: "hang" });
        const statuses = await Promise.all(Array.from({ length: 30 }, (_, index) => send(`first-${index}`)));
        assert.deepEqual(new Set(statuses), new Set([200]));
        let attemptsOnUnresponsive = 0;
        const laterRequests = 100;
        for (let index = 0; index < laterRequests; index++) {
            assert.equal(await send(`later-${index}`), 200);
            attemptsOnUnresponsive += startRecords(`later-${index}`).filter(run => run.host === "items-0").length;
        }
        assert.ok(
            attemptsOnUnresponsive <= laterRequests / 4,
            `${attemptsOnUnresponsive} of ${laterRequests} requests reached the unresponsive server`,
        );
    });
});
