/**
 * The `overhead` scenario: latency that one and two nodes add to a call, and latency of a minimal forwarder with each HTTP listener.
 */
import { fileURLToPath } from "node:url";
import { ports } from "../../fleet/addresses.js";
import { Child } from "../../fleet/child.js";
import { createExampleConfiguration } from "../../fleet/example-configuration.js";
import { Fleet } from "../../fleet/fleet.js";
import { waitFor } from "../../fleet/wait-for.js";
import type { Measures, Scenario } from "../scenario.js";
import type { ListenerVariantOptions } from "./listener-variant.js";
import { overheadResultSchema } from "./overhead-plan.js";
import type { OverheadPath, OverheadPlan, OverheadResult } from "./overhead-plan.js";

const CALLS_PER_SECOND_PER_NODE = 236;
const SLICE_MS = 1_000;
const ROUNDS = 8;
const SATURATION_REQUESTS = 32;
const SATURATION_MS = 2_000;
const RATE_LIMIT = 1_000_000;
const SLOTS = 256;
const TARGET = "/read/1";
const variantPorts = { http: 9101, express: 9102 } as const;
const loadScript = fileURLToPath(new URL("overhead-load.js", import.meta.url));
const variantScript = fileURLToPath(new URL("listener-variant.js", import.meta.url));

/** Measures the latency that nodes add, compared with direct calls that are interleaved in the same run. */
export const overheadScenario: Scenario = {
    name: "overhead",
    description: "time that one and two nodes add to a call at 236 calls/s, and the largest load of a node",
    async run(): Promise<Measures> {
        const example = createExampleConfiguration({
            organisations: { archive: { rate: RATE_LIMIT, burst: RATE_LIMIT } },
            services: { catalogue: { slots: SLOTS, connections: SLOTS }, items: { slots: SLOTS, connections: SLOTS } },
            failureDomains: { "khomas-a": { region: "khomas", seats: 2 } },
        });
        const location = { failureDomain: "khomas-a", region: "khomas" };
        const behaviour = { serviceMs: 0, slots: SLOTS, records: "none" } as const;
        const fleet = await Fleet.create({
            hosts: [
                { ...location, name: "catalogue-0", service: "catalogue", seat: 0, behaviour },
                { ...location, name: "items-0", service: "items", seat: 1, behaviour },
            ],
            configuration: example.configuration,
        });
        const variants = startListenerVariants(fleet);
        try {
            await Promise.all(variants.map(variant => variant.ready));
            const paths = createPaths(fleet, example.keys["archive"]!);
            await waitForTokens(paths);
            return toMeasures(await measurePaths(fleet, paths));
        }
        finally {
            await Promise.all(variants.map(variant => variant.kill()));
            await fleet.stop();
        }
    },
};

function startListenerVariants(fleet: Fleet): Child[] {
    const backendUrl = `http://${fleet.addressOf("items-0")}:${ports.backendServer}`;
    return (["http", "express"] as const).map(variant => {
        const options: ListenerVariantOptions = {
            variant,
            address: fleet.addressOf("items-0"),
            port: variantPorts[variant],
            backendUrl,
        };
        return Child.create(`${variant} listener`, variantScript, [JSON.stringify(options)]);
    });
}

function createPaths(fleet: Fleet, key: string): OverheadPath[] {
    const items = fleet.addressOf("items-0");
    const headers = { authorization: `Bearer ${key}` };
    return [
        { name: "direct", url: `http://${items}:${ports.backendServer}`, target: TARGET, headers: {} },
        { name: "one_node", url: fleet.callerUrl("items-0"), target: `/items${TARGET}`, headers },
        { name: "two_nodes", url: fleet.callerUrl("catalogue-0"), target: `/items${TARGET}`, headers },
        { name: "bare_http", url: `http://${items}:${variantPorts.http}`, target: TARGET, headers: {} },
        { name: "bare_express", url: `http://${items}:${variantPorts.express}`, target: TARGET, headers: {} },
    ];
}

/** Waits until every path responds with status 200, that is, until both nodes have tokens of the organisation's rate. */
async function waitForTokens(paths: readonly OverheadPath[]): Promise<void> {
    for (const { name, url, target, headers } of paths) {
        await waitFor(async () => (await fetch(url + target, { headers })).status === 200, `${name} answers`);
    }
}

async function measurePaths(fleet: Fleet, paths: OverheadPath[]): Promise<OverheadResult[]> {
    const plan: OverheadPlan = {
        seed: 1,
        localAddress: fleet.addresses.client,
        paths,
        ratePerSecond: CALLS_PER_SECOND_PER_NODE,
        sliceMs: SLICE_MS,
        rounds: ROUNDS,
        saturationRequests: SATURATION_REQUESTS,
        saturationMs: SATURATION_MS,
    };
    const load = Child.create("load", loadScript, [JSON.stringify(plan)]);
    await load.ready;
    await load.waitForExit();
    return load.lines.filter(line => line.startsWith("{")).map(line => overheadResultSchema.parse(JSON.parse(line)));
}

function toMeasures(results: readonly OverheadResult[]): Measures {
    const direct = results.find(result => result.path === "direct")!;
    const measures: Record<string, number> = {};
    for (const { path, p50Ms, p99Ms, failed, saturationPerSecond } of results) {
        measures[`${path}_p50_ms`] = p50Ms;
        measures[`${path}_p99_ms`] = p99Ms;
        measures[`${path}_failed`] = failed;
        measures[`${path}_largest_per_second`] = saturationPerSecond;
        if (path !== "direct") {
            measures[`${path}_added_p50_ms`] = roundMs(p50Ms - direct.p50Ms);
            measures[`${path}_added_p99_ms`] = roundMs(p99Ms - direct.p99Ms);
        }
    }
    return measures;
}

function roundMs(durationMs: number): number {
    return Math.round(durationMs * 1_000) / 1_000;
}
