import { runCommandLine } from "@radishrouter/cli";
import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, test } from "node:test";
import { request } from "undici";
import { FleetAddresses } from "../fleet/addresses.js";
import { createExampleConfiguration } from "../fleet/example-configuration.js";
import { Fleet } from "../fleet/fleet.js";
import { waitFor } from "../fleet/wait-for.js";

const STATSD_PORT = 8125;
const addressSeed = process.pid;
const statsdAddress = FleetAddresses.create(addressSeed).client;
const example = createExampleConfiguration({
    organisations: { archive: { rate: 2000, burst: 2000 } },
    services: { catalogue: {} },
    failureDomains: { "khomas-a": { region: "khomas", seats: 1 } },
});
const key = example.keys["archive"]!;

interface MetricsResponse {
    readonly counters: { readonly name: string; readonly tags: Record<string, string>; readonly value: number; }[];
    readonly gauges: { readonly name: string; readonly value: number; }[];
}

describe("the operators' view of a node", () => {
    const statsd = createSocket("udp4");
    const statsdLines: string[] = [];
    let fleet: Fleet;

    before(async () => {
        statsd.on("message", message => statsdLines.push(...message.toString().split("\n")));
        await new Promise<void>(resolve => statsd.bind(STATSD_PORT, statsdAddress, resolve));
        fleet = await Fleet.create({
            addressSeed,
            configuration: example.configuration,
            hosts: [{
                name: "catalogue-1",
                service: "catalogue",
                failureDomain: "khomas-a",
                region: "khomas",
                seat: 0,
            }],
            settings: { statsd: { address: statsdAddress, port: STATSD_PORT } },
            environment: { DEBUG: "*", DEBUG_COLORS: "no" },
        });
        await waitFor(async () => (await send({ authorization: `Bearer ${key}` })) === 200, "the node serves requests");
    });

    after(async () => {
        await fleet.stop();
        statsd.close();
    });

    async function send(headers: Record<string, string>, query = ""): Promise<number> {
        const response = await request(`${fleet.callerUrl("catalogue-1")}/catalogue/read/1${query}`, { headers });
        await response.body.dump();
        return response.statusCode;
    }

    async function readMetrics(): Promise<MetricsResponse> {
        const response = await request(`${fleet.operatorsUrl("catalogue-1")}/metrics`);
        return await response.body.json() as MetricsResponse;
    }

    /** Sum of the values that statsd received for a counter with the given tags. */
    function sumStatsdCounter(name: string, ...tags: string[]): number {
        return statsdLines.filter(line =>
            line.startsWith(`radishrouter.${name}:`) && tags.every(tag => line.includes(tag))
        )
            .reduce((sum, line) => sum + Number(/:(\d+)\|c/.exec(line)?.[1] ?? 0), 0);
    }

    test("has counters by outcome and gauges, in a snapshot and at statsd", async () => {
        assert.equal(await send({}), 401);
        assert.equal(await send({ "authorization": `Bearer ${key}`, "x-api-key": key }), 200);
        await waitFor(async () => (await fleet.report("catalogue-1")).openRequests === 0, "no request is open");
        const { counters, gauges } = await readMetrics();
        const sums = new Map<string, number>();
        for (const { name, tags, value } of counters) {
            const { organisation: _organisation, ...others } = tags;
            const identity = [name, ...Object.entries(others).map(tag => tag.join(":"))].join(" ");
            sums.set(identity, (sums.get(identity) ?? 0) + value);
        }
        for (const [identity, sum] of sums) {
            const [name, ...tags] = identity.split(" ");
            await waitFor(() => sumStatsdCounter(name!, ...tags) === sum, `statsd has ${sum} of ${identity}`);
        }
        assert.ok(counters.some(({ tags, value }) => tags["code"] === "1002" && value === 1));
        assert.deepEqual(
            gauges.map(gauge => gauge.name).sort(),
            [
                "backend.admitted_rank",
                "backend.limit",
                "backend.running",
                "backend.waiting",
                "configuration.version",
                "peers.live",
                "requests.open",
            ],
        );
        for (const { name } of gauges) {
            await waitFor(
                () => statsdLines.some(line => line.startsWith(`radishrouter.${name}:`)),
                `statsd has ${name}`,
            );
        }
        assert.ok(
            statsdLines.every(line => line === "" || line.includes("host:catalogue-1")),
            "each line names its host",
        );
    });

    test("has an audit trail, also as a structured log", async () => {
        const response = await request(`${fleet.operatorsUrl("catalogue-1")}/audit`);
        const { entries } = await response.body.json() as { entries: { change: string; sequence: number; }[]; };
        assert.ok(entries.some(entry => entry.change === "configuration-in-force"));
        const logged = () =>
            fleet.host("catalogue-1").node.errorLines.filter(line => line.includes("radishrouter:audit"))
                .map(line =>
                    JSON.parse(line.slice(line.indexOf("{"), line.lastIndexOf("}") + 1)) as { sequence: number; }
                );
        const isLogged = ({ sequence }: { sequence: number; }) => logged().some(entry => entry.sequence === sequence);
        await waitFor(() => entries.every(isLogged), "every audit entry is in the log");
    });

    test("is shown by the commands", async () => {
        const url = fleet.operatorsUrl("catalogue-1");
        const directory = mkdtempSync(join(tmpdir(), "radishrouter-view-"));
        const run = async (...args: string[]) => {
            let output = "";
            const print = (text: string) => (output += `${text}\n`);
            const exitCode = await runCommandLine(args, { print, note: print });
            return { exitCode, output };
        };
        try {
            const explained = await run("explain", "GET", "/catalogue/read/1", "--key", key, "--node", url);
            assert.equal(explained.exitCode, 0, explained.output);
            assert.match(explained.output, /belongs to archive[^]*catalogue-1: \d+ of \d+ running/);
            assert.match((await run("status", url)).output, /^catalogue-1\tcatalogue\tkhomas-a\trunning\t1\t0\t/m);
            assert.match((await run("audit", url, "--change", "configuration-in-force")).output, /in-force\t1\t/);
            const earlier = join(directory, "earlier.json");
            writeFileSync(earlier, (await run("report", url, "--json")).output);
            assert.equal(await send({ authorization: `Bearer ${key}` }), 200);
            await waitFor(async () => (await fleet.report("catalogue-1")).openRequests === 0, "no request is open");
            const htmlFile = join(directory, "report.html");
            const since = await run("report", url, "--since", earlier, "--html", htmlFile);
            assert.equal(since.exitCode, 0, since.output);
            assert.match(since.output, /^archive\t1\t1\t0\t0\t0\t0\t0\t100\.0%\t100\.0%\t-$/m);
            const html = readFileSync(htmlFile, "utf8");
            assert.ok(
                html.includes("<td>archive</td>") &&
                    !/(?:src|href)=/.test(html.replace(/<script>[^]*?<\/script>/g, "")),
            );
            const partial = await run("report", url, "http://127.0.0.1:9");
            assert.equal(partial.exitCode, 3);
            assert.match(partial.output, /missing: the requests of http:\/\/127\.0\.0\.1:9/);
        }
        finally {
            rmSync(directory, { recursive: true });
        }
    });

    test("never contains an access key, with all logs enabled", async () => {
        assert.equal(await send({ authorization: `Bearer ${key}` }, `?key=${key}`), 400);
        assert.equal(await send({ authorization: `Bearer ${key}x` }), 401);
        assert.equal(await send({ authorization: key }), 401);
        assert.equal(await send({ "authorization": `Bearer ${key}`, "deadline-ms": key }), 400);
        const log = () => fleet.host("catalogue-1").node.errorLines.join("\n");
        for (const code of ["1001", "1002", "1003", "1009"]) {
            await waitFor(() => log().includes(`radishrouter:refusal ${code}`), `refusal ${code} is logged`);
        }
        const { errorLines, lines: output } = fleet.host("catalogue-1").node;
        const responses = await Promise.all(
            ["status", "report", "audit", "metrics", "configuration"].map(async path => {
                const response = await request(`${fleet.operatorsUrl("catalogue-1")}/${path}`);
                return response.body.text();
            }),
        );
        const secret = key.split("_").slice(2).join("_");
        for (
            const text of [...errorLines, ...output, ...statsdLines, ...responses, JSON.stringify(fleet.runRecords())]
        ) {
            assert.ok(!text.includes(secret), text);
        }
    });
});
