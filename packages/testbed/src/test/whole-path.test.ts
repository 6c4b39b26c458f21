import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { request } from "undici";
import { createExampleConfiguration } from "../fleet/example-configuration.js";
import { Fleet } from "../fleet/fleet.js";
import { waitFor } from "../fleet/wait-for.js";

const failureDomains = {
    "khomas-a": { region: "khomas", seats: 2 },
    "khomas-b": { region: "khomas", seats: 2 },
};
const example = createExampleConfiguration({
    organisations: { archive: { rate: 1000, burst: 400 }, mission: { rate: 1000, burst: 400 } },
    services: { catalogue: {}, items: {} },
    failureDomains,
});

describe("a request from the caller to the backend servers", () => {
    let fleet: Fleet;

    before(async () => {
        const hosts = Object.keys(failureDomains).flatMap(failureDomain => [
            {
                name: `catalogue-${failureDomain}`,
                service: "catalogue",
                failureDomain,
                region: "khomas",
                seat: 0,
                behaviour: { onwardCalls: ["/items/read/1"] },
            },
            { name: `items-${failureDomain}`, service: "items", failureDomain, region: "khomas", seat: 1 },
        ]);
        fleet = await Fleet.create({ hosts, configuration: example.configuration, proxied: true });
    });

    after(() => fleet.stop());

    function send(host: string, target: string, headers: Record<string, string> = {}) {
        return request(fleet.callerUrl(host) + target, { headers });
    }

    function sendAs(organisation: string, host: string, target: string, requestId: string) {
        const authorization = `Bearer ${example.keys[organisation]}`;
        return send(host, target, { authorization, "x-request-id": requestId });
    }

    test("runs on the backend server and on the downstream service, from any node", async () => {
        for (const host of fleet.hosts.keys()) {
            await waitFor(async () => {
                const response = await sendAs("archive", host, "/catalogue/read/1?q=a", `whole-${host}`);
                await response.body.dump();
                return response.statusCode === 200;
            }, `${host} has rate tokens for the organisation`);
            const runs = fleet.runRecords().filter(run => run.requestId === `whole-${host}` && run.event === "start");
            assert.deepEqual(runs.map(run => run.path), ["/read/1?q=a", "/read/1"]);
        }
    });

    test("does not pass the access key to backend servers", () => {
        const text = JSON.stringify(fleet.runRecords());
        assert.ok(text.includes("whole-"));
        assert.ok(!text.includes(example.keys["archive"]!));
        assert.ok(!text.includes("authorization"));
    });

    test("is refused with a result code when its input is invalid", async () => {
        const cases: { target: string; headers: Record<string, string>; status: number; code: number; }[] = [
            { target: "/catalogue/read/1", headers: {}, status: 401, code: 1002 },
            { target: "/catalogue/read/1", headers: { authorization: "Bearer rr_x" }, status: 401, code: 1003 },
            { target: "/nowhere/read/1", headers: {}, status: 404, code: 1004 },
            { target: "/catalogue/open/1", headers: { "radishrouter-handle": "x" }, status: 400, code: 1008 },
            { target: "/catalogue/open/1", headers: { "deadline-ms": "soon" }, status: 400, code: 1009 },
        ];
        for (const { target, headers, status, code } of cases) {
            const response = await send("catalogue-khomas-a", target, headers);
            const problem = await response.body.json() as { code: number; execution: string; };
            assert.equal(response.statusCode, status);
            assert.equal(problem.code, code);
            assert.equal(problem.execution, "not-run");
        }
    });

    test("is refused once its access key is withdrawn", async () => {
        const organisations = structuredClone(example.configuration.organisations);
        organisations["mission"]!.keys = [];
        await fleet.publish({ ...example.configuration, version: 2, organisations });
        for (const host of fleet.hosts.keys()) {
            await waitFor(
                async () => (await fleet.status(host)).configurationVersion === 2,
                `${host} has configuration version 2`,
            );
            const response = await sendAs("mission", host, "/catalogue/read/1", "withdrawn");
            await response.body.dump();
            assert.equal(response.statusCode, 401);
        }
        assert.ok(!fleet.runRecords().some(run => run.requestId === "withdrawn"));
    });

    test("is counted with exactly one outcome", async () => {
        for (const host of fleet.hosts.keys()) {
            const report = await fleet.report(host);
            assert.equal(report.openRequests, 0);
            for (const outcomes of Object.values(report.organisations)) {
                const ended = [outcomes.refused, outcomes.failed, outcomes.unknown]
                    .flatMap(counters => Object.values(counters))
                    .reduce((sum, count) => sum + count, outcomes.completed);
                assert.equal(ended, outcomes.offered);
            }
        }
    });
});
