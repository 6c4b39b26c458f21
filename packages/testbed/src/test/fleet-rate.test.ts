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
/** Well above the half that one of the two failure domains has of its own. */
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

describe("one rate over a fleet of processes", () => {
    let fleet: Fleet;
    let senders: SteadyLoad[];

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
        senders = ["khomas-a-0", "khomas-b-0", "khomas-b-1"].map(name => startLoad([name], 1));
    });

    after(async () => {
        await Promise.all(senders.map(sender => sender.stop()));
        await fleet.stop();
    });

    function startLoad(names: readonly string[], part: number): SteadyLoad {
        return SteadyLoad.create({
            organisation: "archive",
            key: example.keys["archive"]!,
            perSecond: RATE * OFFERED_FACTOR * part / 3,
            urls: names.map(name => fleet.callerUrl(name)),
            path: "/catalogue/read/1",
            localAddress: fleet.addresses.client,
        });
    }

    /** Starts of requests in a failure domain since a time. */
    function startsSince(failureDomain: string, sinceMs: number): number {
        const records = fleet.runRecords().filter(record => record.host.startsWith(failureDomain));
        return startTimes(records, "archive-").filter(timeMs => timeMs >= sinceMs).length;
    }

    /** Waits until new requests run in a failure domain. */
    async function waitForService(failureDomain: string, what: string): Promise<void> {
        const sinceMs = Date.now();
        await waitFor(() => startsSince(failureDomain, sinceMs) >= RATE, `${failureDomain} serves ${what}`);
    }

    function assertWithinRate(): void {
        const times = startTimes(fleet.runRecords(), "archive-");
        const excess = largestExcess(times, { rate: RATE, burst: BURST });
        assert.ok(excess <= 0, `${excess} above the rate in ${times.length} requests`);
    }

    test("both sides of a cut serve, and together stay within the rate", async () => {
        await waitForService("khomas-a", "before the cut");
        await waitForService("khomas-b", "before the cut");
        await fleet.setProxyRules(fleet.cutRules(["khomas-b"], { platform: true }));
        await Promise.all(["khomas-a", "khomas-b"].map(name => waitForService(name, "during the cut")));
        await fleet.setProxyRules([]);
        await Promise.all(["khomas-a", "khomas-b"].map(name => waitForService(name, "after the cut")));
        assertWithinRate();
    });

    test("a process that was paused and one that was killed stay within the rate", async () => {
        const paused = fleet.host("khomas-a-0").node;
        paused.signal("SIGSTOP");
        await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
        paused.signal("SIGCONT");
        await fleet.restartNode("khomas-b-0");
        await waitFor(async () => (await fleet.status("khomas-b-0")).rateReadyInMs === 0, "the new process mints");
        await Promise.all(["khomas-a", "khomas-b"].map(name => waitForService(name, "after the restart")));
        assertWithinRate();
    });

    test("an organisation that enters through one failure domain gets most of its whole rate", async () => {
        await Promise.all(senders.map(sender => sender.stop()));
        senders = [startLoad(["khomas-b-1"], 1)];
        await waitFor(
            () => startsSince("khomas-b", Date.now() - 1_000) >= MOST_OF_RATE,
            "one failure domain has most of the rate",
        );
        assertWithinRate();
    });
});
