import { HOST_LIST_KEY } from "@radishrouter/core";
import type { AuditEntry, Configuration } from "@radishrouter/core";
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
const hosts = Object.keys(failureDomains).flatMap(failureDomain => [
    { name: `catalogue-${failureDomain}`, service: "catalogue", failureDomain, region: "khomas", seat: 0 },
    { name: `items-${failureDomain}`, service: "items", failureDomain, region: "khomas", seat: 1 },
]);

/** Longer than the timeout after which nodes close control streams on which nothing is received. */
const LONGER_THAN_STREAM_TIMEOUT_MS = 12_000;

describe("membership and configuration of a fleet of processes", () => {
    let fleet: Fleet;
    let version = 1;

    before(async () => {
        fleet = await Fleet.create({ hosts, configuration: example.configuration, proxied: true });
    });

    after(() => fleet.stop());

    function nextConfiguration(change: Partial<Configuration> = {}): Configuration {
        return { ...example.configuration, ...change, version: ++version };
    }

    async function waitForVersion(expected: number, names: readonly string[] = [...fleet.hosts.keys()]) {
        for (const name of names) {
            await waitFor(
                async () => (await fleet.status(name)).configurationVersion === expected,
                `${name} has configuration version ${expected}`,
            );
        }
    }

    function nodeStartTimes(): Promise<string[]> {
        return Promise.all([...fleet.hosts.keys()].map(async name => (await fleet.status(name)).startedAt));
    }

    async function readAudit(name: string): Promise<AuditEntry[]> {
        const response = await request(`${fleet.operatorsUrl(name)}/audit`);
        return (await response.body.json() as { entries: AuditEntry[]; }).entries;
    }

    async function send(name: string, target: string, requestId: string, organisation = "archive"): Promise<number> {
        const headers = { authorization: `Bearer ${example.keys[organisation]}`, "x-request-id": requestId };
        const response = await request(fleet.callerUrl(name) + target, { headers });
        await response.body.dump();
        return response.statusCode;
    }

    test("a node that starts while the platform is down gets host list and configuration from its peers", async () => {
        await fleet.publish(nextConfiguration());
        await waitForVersion(version);
        await fleet.setPlatformFault("down");
        await fleet.restartNode("items-khomas-a");
        await fleet.waitForConfiguration("items-khomas-a");
        assert.equal((await fleet.status("items-khomas-a")).configurationVersion, version);
        const entries = await readAudit("items-khomas-a");
        const applied = entries.find(entry => entry.change === "configuration-in-force");
        assert.ok(
            fleet.hosts.has(applied!.cause),
            `the configuration came from ${applied?.cause}, expected a host of the fleet`,
        );
        await fleet.setPlatformFault("none");
    });

    test("a starting node does not apply a stale configuration that the platform returns", async () => {
        await fleet.setPlatformFault("stale");
        const staleVersion = version;
        await fleet.publish(nextConfiguration());
        await fleet.setPlatformFault("none");
        await waitForVersion(version);
        await fleet.setPlatformFault("stale");
        await fleet.publish({ ...example.configuration, version: staleVersion });
        await fleet.setPlatformFault("none");
        await fleet.setPlatformFault("stale");
        for (const name of ["catalogue-khomas-a", "items-khomas-b"]) {
            await fleet.restartNode(name);
            await fleet.waitForConfiguration(name);
            const applied = (await readAudit(name)).filter(entry => entry.change === "configuration-in-force");
            assert.deepEqual(applied.map(entry => entry.subject), [String(version)], name);
        }
        await fleet.setPlatformFault("none");
    });

    test("a document that is corrupt, or has a known version and other content, is refused and audited", async () => {
        const activeVersion = version;
        await fleet.publishValue("radishrouter/configuration", { version: 99, organisations: {}, services: "torn" });
        const countRefusals = async () => {
            const all = await Promise.all([...fleet.hosts.keys()].map(readAudit));
            return all.flat().filter(entry => entry.change === "configuration-refused").length;
        };
        await waitFor(async () => await countRefusals() > 0, "a reader refused the corrupt document");
        const earlierRefusals = await countRefusals();
        const organisations = structuredClone(example.configuration.organisations);
        organisations["archive"]!.rate = 7;
        await fleet.publish({ ...example.configuration, version: activeVersion, organisations });
        await waitFor(async () => await countRefusals() > earlierRefusals, "a reader refused the changed document");
        for (const name of fleet.hosts.keys()) {
            assert.equal((await fleet.status(name)).configurationVersion, activeVersion);
            assert.equal(await send(name, "/catalogue/read/1", `refused-${name}`), 200);
        }
        await fleet.publish(nextConfiguration());
        await waitForVersion(version);
    });

    test("both sides of a partition serve requests, and converge after it", async () => {
        await fleet.setProxyRules(fleet.createPartitionRules(["khomas-b"], { platform: true }));
        await fleet.publish(nextConfiguration());
        await waitForVersion(version, ["catalogue-khomas-a", "items-khomas-a"]);
        for (const domain of Object.keys(failureDomains)) {
            const name = `items-${domain}`;
            await waitFor(
                async () => (await fleet.status(name)).livePeers.length === 1,
                `${name} detects that the other failure domain is partitioned`,
            );
            assert.equal(await send(name, "/catalogue/read/1", `cut-${domain}`), 200);
        }
        assert.equal((await fleet.status("items-khomas-b")).configurationVersion, version - 1);
        const startsBefore = await nodeStartTimes();
        await new Promise(resolve => setTimeout(resolve, LONGER_THAN_STREAM_TIMEOUT_MS));
        const runs = fleet.runRecords().filter(run => run.requestId.startsWith("cut-") && run.event === "start");
        assert.deepEqual(runs.map(run => run.host), ["catalogue-khomas-a", "catalogue-khomas-b"]);
        await fleet.setProxyRules([]);
        await waitForVersion(version);
        for (const name of fleet.hosts.keys()) {
            await fleet.waitForConfiguration(name);
        }
        assert.deepEqual(await nodeStartTimes(), startsBefore);
    });

    test("a draining host gets no new requests, and a killed node is no longer a live peer", async () => {
        await fleet.publishHosts({ leaving: ["catalogue-khomas-a"] });
        await waitFor(async () => {
            const { livePeers } = await fleet.status("items-khomas-a");
            return !livePeers.includes("catalogue-khomas-a");
        }, "items-khomas-a no longer counts the draining host as live");
        for (let index = 0; index < 20; index++) {
            assert.equal(await send("items-khomas-a", "/catalogue/read/1", `leaving-${index}`), 200);
        }
        const runs = fleet.runRecords().filter(run => run.requestId.startsWith("leaving-") && run.event === "start");
        assert.deepEqual([...new Set(runs.map(run => run.host))], ["catalogue-khomas-b"]);
        await fleet.publishHosts();
        await fleet.waitForConfiguration("items-khomas-a");
        await fleet.host("catalogue-khomas-b").node.kill();
        for (const name of ["items-khomas-a", "items-khomas-b"]) {
            await waitFor(
                async () => !(await fleet.status(name)).livePeers.includes("catalogue-khomas-b"),
                `${name} detects that catalogue-khomas-b failed`,
            );
        }
        await fleet.restartNode("catalogue-khomas-b");
        for (const name of fleet.hosts.keys()) {
            await fleet.waitForConfiguration(name);
        }
    });

    test("a long request in progress ends when its access key is withdrawn", async () => {
        await fleet.setBehaviour("catalogue-khomas-a", { mode: "hang" });
        await fleet.setBehaviour("catalogue-khomas-b", { mode: "hang" });
        const pending = send("items-khomas-a", "/catalogue/read/long", "long", "mission");
        await waitFor(() => fleet.runRecords().some(run => run.requestId === "long"), "the request runs");
        const organisations = structuredClone(example.configuration.organisations);
        organisations["mission"]!.keys = [];
        await fleet.publish(nextConfiguration({ organisations }));
        assert.equal(await pending, 502);
        const report = await fleet.report("items-khomas-a");
        assert.deepEqual(report.organisations["mission"]!.unknown, { 3007: 1 });
        assert.equal(await send("items-khomas-a", "/catalogue/read/1", "after", "mission"), 401);
    });

    test("a host list with an older revision is not applied", async () => {
        const { livePeers } = await fleet.status("items-khomas-a");
        await fleet.publishValue(HOST_LIST_KEY, { revision: 1, hosts: [] });
        await fleet.publish(nextConfiguration());
        await waitForVersion(version);
        assert.deepEqual((await fleet.status("items-khomas-a")).livePeers, livePeers);
    });
});
