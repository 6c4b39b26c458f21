/**
 * The `overload` scenario: a demand surge and a slowdown of the last of four chained services, with callers that retry failed attempts
 * after a short delay.
 */
import { Pool } from "undici";
import { ports } from "../../fleet/addresses.js";
import type { FleetOptions } from "../../fleet/fleet-options.js";
import { Fleet } from "../../fleet/fleet.js";
import type { LoadPlan } from "../load/load-plan.js";
import { runLoad } from "../load/load-run.js";
import type { Measures, Scenario } from "../scenario.js";
import { describeRound, measureRound } from "./overload-measures.js";
import type { OverloadRound } from "./overload-measures.js";
import {
    chain,
    createFlows,
    createWorkloadConfiguration,
    createWorkloadHosts,
    DEADLINE_MS,
    DEEP_SERVICE,
    DEEP_SERVICE_MS,
    DEEP_SLOTS,
    HOSTS_PER_SERVICE,
    SLOWNESS_FACTOR,
    timeline,
} from "./workload.js";

const LOAD_PROCESSES = 2;
const START_DELAY_MS = 1_500;
const CAPACITY_MEASUREMENT_MS = 2_000;
const MAXIMUM_ATTEMPTS = 4;
const RETRY_DELAY_MS = 20;
const CALLER_CONNECTIONS = 1_500;

/** Overload policy of the nodes during a round; see the settings of the daemon. */
export type RoundPolicy = NonNullable<FleetOptions["policy"]>;

/** Measures overload with all policies enabled and, as a baseline in the same run, with plain forwarding. */
export const overloadScenario: Scenario = {
    name: "overload",
    description: "a surge and slowness four services deep, against plain forwarding with retries at each hop",
    async run(): Promise<Measures> {
        const full = await runRound("full", 0);
        const plain = await runRound("plain", 1);
        const baseline = Object.entries(plain).map(([name, value]) => [`baseline_${name}`, value]);
        return { ...full, ...Object.fromEntries(baseline) as Measures };
    },
};

/** Runs one round in a separate fleet and returns its measures. */
export async function runRound(policy: RoundPolicy, index: number): Promise<Measures> {
    const example = createWorkloadConfiguration();
    const fleet = await Fleet.create({
        hosts: createWorkloadHosts(),
        configuration: example.configuration,
        policy,
        addressSeed: process.pid + index,
    });
    try {
        const round = await runLoadOn(fleet, example.keys);
        const measures = measureRound(round);
        process.stderr.write(`${describeRound(round)}\n`);
        process.stderr.write(`${JSON.stringify(policy)}: ${JSON.stringify(measures)}\n`);
        return measures;
    }
    finally {
        await fleet.stop();
    }
}

async function runLoadOn(fleet: Fleet, keys: Readonly<Record<string, string>>): Promise<OverloadRound> {
    const capacity = await measureCapacity(fleet);
    const startAtMs = Date.now() + START_DELAY_MS;
    const load = runLoad(createPlans(fleet, keys, startAtMs));
    await sleepUntil(startAtMs + timeline.slowStartMs);
    await setDeepServiceMs(fleet, DEEP_SERVICE_MS * SLOWNESS_FACTOR);
    await sleepUntil(startAtMs + timeline.slowEndMs);
    await setDeepServiceMs(fleet, DEEP_SERVICE_MS);
    return { capacity, results: await load, runs: fleet.runRecords() };
}

function createPlans(fleet: Fleet, keys: Readonly<Record<string, string>>, startAtMs: number): LoadPlan[] {
    return Array.from({ length: LOAD_PROCESSES }, (_, index) => ({
        seed: index + 1,
        localAddress: fleet.addresses.client,
        urls: hostNamesOf(chain[0]).map(name => fleet.callerUrl(name)),
        flows: createFlows(keys, 1 / LOAD_PROCESSES),
        startAtMs,
        deadlineMs: DEADLINE_MS,
        attempts: MAXIMUM_ATTEMPTS,
        retryDelayMs: RETRY_DELAY_MS,
        connections: CALLER_CONNECTIONS,
    }));
}

function hostNamesOf(service: string): string[] {
    return Array.from({ length: HOSTS_PER_SERVICE }, (_, index) => `${service}-${index}`);
}

/** Saturates the backend servers of the last service directly and returns the requests per second that they complete together. */
async function measureCapacity(fleet: Fleet): Promise<number> {
    const rates = await Promise.all(
        hostNamesOf(DEEP_SERVICE).map(async name => {
            const pool = new Pool(`http://${fleet.addressOf(name)}:${ports.backendServer}`, {
                connections: DEEP_SLOTS * 2,
            });
            const startMs = performance.now();
            const endMs = startMs + CAPACITY_MEASUREMENT_MS;
            let completed = 0;
            await Promise.all(Array.from({ length: DEEP_SLOTS * 2 }, async () => {
                while (performance.now() < endMs) {
                    const response = await pool.request({ method: "GET", path: "/read/1" });
                    await response.body.dump();
                    completed++;
                }
            }));
            const seconds = (performance.now() - startMs) / 1000;
            await pool.close();
            return completed / seconds;
        }),
    );
    return rates.reduce((sum, rate) => sum + rate, 0);
}

async function setDeepServiceMs(fleet: Fleet, serviceMs: number): Promise<void> {
    await Promise.all(hostNamesOf(DEEP_SERVICE).map(name => fleet.setBehaviour(name, { serviceMs })));
}

async function sleepUntil(unixMs: number): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, Math.max(0, unixMs - Date.now())));
}
