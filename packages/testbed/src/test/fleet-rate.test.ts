import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { createExampleConfiguration } from "../fleet/example-configuration.js";
import { Fleet } from "../fleet/fleet.js";
import { largestExcess, startTimes } from "../fleet/rate-check.js";
import { SteadyLoad } from "../fleet/steady-load.js";
import { waitFor } from "../fleet/wait-for.js";

const RATE = 40;
const BURST = 30;
const OFFERED_FACTOR = 4;
/** Well above half the rate, which is the share that one of the two failure domains has on its own. */
const MOST_OF_RATE = 0.75 * RATE;
const PAUSE_MS = 2_000;
const example = createExampleConfiguration({
    organisations: { archive: { rate: RATE, burst: BURST } },
    services: { catalogue: {} },
    failureDomains: {
        "khomas-a": { region: "khomas", seats: 3 },
        "khomas-b": { region: "khomas", seats: 3 },
    },
});

describe("a rate limit shared by a fleet of processes", () => {
    let fleet: Fleet;
    let loads: SteadyLoad[];

    before(async () => {
        const hosts = Object.entries(example.configuration.failureDomains).flatMap(([failureDomain, { seats }]) =>
            Array.from({ length: seats }, (_, seat) => ({
                name: `${failureDomain}-${seat}`,
                service: "catalogue",
                failureDomain,
                region: "khomas",
                seat,
            }))
        );
        fleet = await Fleet.create({ hosts, configuration: example.configuration, proxied: true });
        loads = ["khomas-a-0", "khomas-b-0", "khomas-b-1"].map(name => startLoad([name], 1));
    });

    after(async () => {
        await Promise.all(loads.map(load => load.stop()));
        await fleet.stop();
    });

    function startLoad(names: readonly string[], fraction: number): SteadyLoad {
        return SteadyLoad.create({
            organisation: "archive",
            key: example.keys["archive"]!,
            perSecond: RATE * OFFERED_FACTOR * fraction / 3,
            urls: names.map(name => fleet.callerUrl(name)),
            path: "/catalogue/read/1",
            localAddress: fleet.addresses.client,
        });
    }

    /** Number of requests that started in a failure domain since a time. */
    function startsSince(failureDomain: string, sinceMs: number): number {
        const records = fleet.runRecords().filter(record => record.host.startsWith(failureDomain));
        return startTimes(records, "archive-").filter(timeMs => timeMs >= sinceMs).length;
    }

    /** Waits until a failure domain has run as many new requests as the rate allows in a second. */
    async function waitForService(failureDomain: string, phase: string): Promise<void> {
        const sinceMs = Date.now();
        await waitFor(() => startsSince(failureDomain, sinceMs) >= RATE, `${failureDomain} serves requests ${phase}`);
    }

    function assertWithinRate(): void {
        const times = startTimes(fleet.runRecords(), "archive-");
        const excess = largestExcess(times, { rate: RATE, burst: BURST });
        assert.ok(excess <= 0, `${excess} requests above the rate and burst, among ${times.length} requests`);
    }

    test("both sides of a partition serve requests, and together stay within the rate", async () => {
        await waitForService("khomas-a", "before the partition");
        await waitForService("khomas-b", "before the partition");
        await fleet.setProxyRules(fleet.createPartitionRules(["khomas-b"], { platform: true }));
        await Promise.all(["khomas-a", "khomas-b"].map(name => waitForService(name, "during the partition")));
        await fleet.setProxyRules([]);
        await Promise.all(["khomas-a", "khomas-b"].map(name => waitForService(name, "after the partition")));
        assertWithinRate();
    });

    test("a node that was paused and a node that was killed stay within the rate", async () => {
        const paused = fleet.host("khomas-a-0").node;
        paused.signal("SIGSTOP");
        await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
        paused.signal("SIGCONT");
        await fleet.restartNode("khomas-b-0");
        await waitFor(
            async () => (await fleet.status("khomas-b-0")).rateReadyInMs === 0,
            "the new process generates tokens",
        );
        await Promise.all(["khomas-a", "khomas-b"].map(name => waitForService(name, "after the restart")));
        assertWithinRate();
    });

    test("an organisation that sends through one failure domain only gets most of its full rate", async () => {
        await Promise.all(loads.map(load => load.stop()));
        loads = [startLoad(["khomas-b-1"], 1)];
        await waitFor(
            () => startsSince("khomas-b", Date.now() - 1_000) >= MOST_OF_RATE,
            "one failure domain serves most of the rate",
        );
        assertWithinRate();
    });
});
