/**
 * The `hang` scenario: one of three backend servers stops responding: it accepts requests, never responds and keeps connections open.
 */
import { createExampleConfiguration } from "../../fleet/example-configuration.js";
import type { ExampleConfiguration } from "../../fleet/example-configuration.js";
import type { FleetOptions, HostSpecification } from "../../fleet/fleet-options.js";
import { Fleet } from "../../fleet/fleet.js";
import type { LoadPhase, LoadPlan, LoadResult } from "../load/load-plan.js";
import { runLoad } from "../load/load-run.js";
import type { Measures, Scenario } from "../scenario.js";

const ITEMS_HOSTS = ["items-0", "items-1", "items-2"] as const;
const UNRESPONSIVE_HOST = ITEMS_HOSTS[0];
const ENTRY_HOST = "catalogue-0";
const SERVICE_MS = 20;
const READS_PER_SECOND = 180;
const BOOKINGS_PER_SECOND = 20;
const UNRESPONSIVE_AT_MS = 3_000;
const END_MS = 13_000;
const START_DELAY_MS = 1_500;
const DEADLINE_MS = 2_000;
const RATE_LIMIT = 100_000;
/** Maximum number of request starts in one second that count as probes: one for each node. */
const PROBES_PER_SECOND = ITEMS_HOSTS.length + 1;
const WINDOW_MS = 1_000;

/** Measures the requests lost to an unresponsive backend server, with all policies enabled and with plain forwarding. */
export const hangScenario: Scenario = {
    name: "hang",
    description: "one of three backend servers hangs without closing connections",
    async run(): Promise<Measures> {
        const full = await runRound("full", 0);
        const plain = await runRound("plain", 1);
        const baseline = Object.entries(plain).map(([name, value]) => [`baseline_${name}`, value]);
        return { ...full, ...Object.fromEntries(baseline) as Measures };
    },
};

/** Runs one round in a separate fleet and returns its measures. */
export async function runRound(policy: NonNullable<FleetOptions["policy"]>, index: number): Promise<Measures> {
    const example = createExampleConfiguration({
        organisations: { archive: { rate: RATE_LIMIT, burst: RATE_LIMIT } },
        services: { catalogue: {}, items: {} },
        failureDomains: { "khomas-a": { region: "khomas", seats: ITEMS_HOSTS.length + 1 } },
    });
    const fleet = await Fleet.create({
        hosts: createHosts(),
        configuration: example.configuration,
        policy,
        addressSeed: process.pid + index,
    });
    try {
        const startAtMs = Date.now() + START_DELAY_MS;
        const load = runLoad([createPlan(fleet, example, startAtMs)]);
        await new Promise(resolve => setTimeout(resolve, startAtMs + UNRESPONSIVE_AT_MS - Date.now()));
        await fleet.setBehaviour(UNRESPONSIVE_HOST, { mode: "hang" });
        const unresponsiveAtMs = Date.now();
        const results = await load;
        const measures = {
            ...measureLosses(results, unresponsiveAtMs - startAtMs),
            ...measureStartsAfterFailure(fleet, unresponsiveAtMs),
        };
        process.stderr.write(`${JSON.stringify(policy)}: ${JSON.stringify(measures)}\n`);
        return measures;
    }
    finally {
        await fleet.stop();
    }
}

function createHosts(): HostSpecification[] {
    return [ENTRY_HOST, ...ITEMS_HOSTS].map((name, seat) => ({
        name,
        service: name === ENTRY_HOST ? "catalogue" : "items",
        failureDomain: "khomas-a",
        region: "khomas",
        seat,
        behaviour: { serviceMs: SERVICE_MS, records: "brief" },
    }));
}

function createPlan(fleet: Fleet, example: ExampleConfiguration, startAtMs: number): LoadPlan {
    const key = example.keys["archive"]!;
    const phase = (ratePerSecond: number): LoadPhase[] => [{ startMs: 0, endMs: END_MS, ratePerSecond }];
    return {
        seed: 1,
        localAddress: fleet.addresses.client,
        urls: [ENTRY_HOST, ...ITEMS_HOSTS].map(name => fleet.callerUrl(name)),
        flows: [
            { name: "reads", key, method: "GET", path: "/items/read/1", phases: phase(READS_PER_SECOND) },
            { name: "bookings", key, method: "POST", path: "/items/book/1", phases: phase(BOOKINGS_PER_SECOND) },
        ],
        startAtMs,
        deadlineMs: DEADLINE_MS,
        attempts: 1,
        retryDelayMs: 0,
        connections: 400,
    };
}

function measureLosses(results: readonly LoadResult[], unresponsiveAtMs: number): Measures {
    const lostRatioOf = (flows: readonly string[]) => {
        const after = results.filter(({ flow, intendedMs }) => flows.includes(flow) && intendedMs >= unresponsiveAtMs);
        return after.filter(result => !result.completed).length / after.length;
    };
    return {
        lost_ratio: lostRatioOf(["reads", "bookings"]),
        lost_reads_ratio: lostRatioOf(["reads"]),
        lost_bookings_ratio: lostRatioOf(["bookings"]),
    };
}

/**
 * Measures the requests that start on the server after it became unresponsive: their number, and the time until no
 * second has more starts than {@link PROBES_PER_SECOND}.
 */
function measureStartsAfterFailure(fleet: Fleet, unresponsiveAtMs: number): Measures {
    const starts = fleet.runRecords()
        .filter(run => run.host === UNRESPONSIVE_HOST && run.event === "start" && run.timeMs >= unresponsiveAtMs)
        .map(run => run.timeMs - unresponsiveAtMs)
        .sort((left, right) => left - right);
    const lastStartAboveProbesMs = starts.filter((timeMs, index) => {
        const next = starts[index + PROBES_PER_SECOND];
        return next !== undefined && next - timeMs <= WINDOW_MS;
    }).at(-1);
    return { new_work_ends_ms: lastStartAboveProbesMs ?? 0, starts_on_hung_server: starts.length };
}
