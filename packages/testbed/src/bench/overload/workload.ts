/**
 * The workload of the `overload` scenario: services, organisations, and demand over time.
 */
import type { Organisation, Service } from "@radishrouter/core";
import { createExampleConfiguration } from "../../fleet/example-configuration.js";
import type { ExampleConfiguration } from "../../fleet/example-configuration.js";
import type { HostSpecification } from "../../fleet/fleet-options.js";
import type { LoadFlow, LoadPhase } from "../load/load-plan.js";

/** Services in call order: callers use the first, and each service calls the next. */
export const chain = ["catalogue", "accessions", "reading-room", "items"] as const;

/** Last service of the chain, the one that becomes overloaded. */
export const DEEP_SERVICE = "items";
/** Hosts of each service. */
export const HOSTS_PER_SERVICE = 2;
/** Requests that each backend server of the last service handles at once. */
export const DEEP_SLOTS = 10;
/** Time in milliseconds that the last service takes for a request. */
export const DEEP_SERVICE_MS = 200;
/** Factor by which the service time of the last service grows during the slowdown. */
export const SLOWNESS_FACTOR = 3;
/** Requests per second that the last service completes when every slot is always in use. */
export const NOMINAL_CAPACITY = HOSTS_PER_SERVICE * DEEP_SLOTS * 1000 / DEEP_SERVICE_MS;

/** Times of the run, in milliseconds from its start. */
export const timeline = {
    surgeStartMs: 3_000,
    slowStartMs: 4_000,
    slowEndMs: 7_000,
    surgeEndMs: 11_000,
    endMs: 19_000,
} as const;

const SURGE_DEMAND_FACTOR = 5;
const PRE_SURGE_DEMAND_FACTOR = 0.5;
const POST_SURGE_DEMAND_FACTOR = 0.7;
const OTHER_SERVICE_MS = 2;
const OTHER_SLOTS = 330;

/** Time in milliseconds after which a caller aborts an attempt. */
export const DEADLINE_MS = 2_000;
/** Rate limit per unit of weight, far above the demand so that only the overload policy limits requests. */
const RATE_PER_WEIGHT = 100_000;

/** One organisation of the workload. */
export interface WorkloadOrganisation {
    readonly name: string;
    readonly weight: number;
    /** Fraction of the surge demand that comes from this organisation. */
    readonly surgeFraction: number;
    /** Critical requests per second during the whole run. */
    readonly criticalRate: number;
}

/** Organisations: a large one far above its fair share, two small ones above theirs, and one that stays within its share even during the slowdown. */
export const organisations: readonly WorkloadOrganisation[] = [
    { name: "harbour", weight: 4, surgeFraction: 0.713, criticalRate: 8 },
    { name: "archive", weight: 1, surgeFraction: 0.18, criticalRate: 3 },
    { name: "mission", weight: 1, surgeFraction: 0.10, criticalRate: 3 },
    { name: "farm", weight: 1, surgeFraction: 0.007, criticalRate: 1.5 },
];

/** Requests per second of one organisation during a period of the run, including critical requests. */
export function demandOf(organisation: WorkloadOrganisation, period: "before" | "surge" | "after"): number {
    switch (period) {
        case "before":
            return NOMINAL_CAPACITY * PRE_SURGE_DEMAND_FACTOR * organisation.weight / totalWeight();
        case "surge":
            return NOMINAL_CAPACITY * SURGE_DEMAND_FACTOR * organisation.surgeFraction;
        case "after":
            return NOMINAL_CAPACITY * POST_SURGE_DEMAND_FACTOR * organisation.weight / totalWeight();
    }
}

function totalWeight(): number {
    return organisations.reduce((sum, { weight }) => sum + weight, 0);
}

/** Configuration with a chain of four services. */
export function createWorkloadConfiguration(): ExampleConfiguration {
    const routes: Service["routes"] = [
        {
            method: "GET",
            path: "/read/*",
            idempotent: true,
            open: false,
            importance: "normal",
            deadlineMs: DEADLINE_MS,
        },
        {
            method: "POST",
            path: "/book/*",
            idempotent: false,
            open: false,
            importance: "critical",
            deadlineMs: DEADLINE_MS,
        },
    ];
    const limits = organisations.map(({ name, weight }): [string, Pick<Organisation, "rate" | "burst">] => [
        name,
        { rate: weight * RATE_PER_WEIGHT, burst: weight * RATE_PER_WEIGHT },
    ]);
    return createExampleConfiguration({
        organisations: Object.fromEntries(limits),
        services: Object.fromEntries(chain.map(name => [name, {
            slots: name === DEEP_SERVICE ? DEEP_SLOTS : OTHER_SLOTS,
            connections: 400,
            routes,
        }])),
        failureDomains: { "khomas-a": { region: "khomas", seats: chain.length * HOSTS_PER_SERVICE } },
    });
}

/** Hosts of the chain; each service calls the next. */
export function createWorkloadHosts(): HostSpecification[] {
    return chain.flatMap((service, depth) =>
        Array.from({ length: HOSTS_PER_SERVICE }, (_, index): HostSpecification => ({
            name: `${service}-${index}`,
            service,
            failureDomain: "khomas-a",
            region: "khomas",
            seat: depth * HOSTS_PER_SERVICE + index,
            behaviour: {
                serviceMs: service === DEEP_SERVICE ? DEEP_SERVICE_MS : OTHER_SERVICE_MS,
                slots: service === DEEP_SERVICE ? DEEP_SLOTS : OTHER_SLOTS,
                onwardCalls: service === DEEP_SERVICE ? [] : [`/${chain[depth + 1]}/read/1`],
                records: "brief",
            },
        }))
    );
}

/** Name of the flow that carries the critical requests of an organisation. */
export function criticalFlowName(organisation: string): string {
    return `${organisation}-critical`;
}

/** Flows of all organisations, with every rate multiplied by the fraction that one load process sends. */
export function createFlows(keys: Readonly<Record<string, string>>, fraction: number): LoadFlow[] {
    return organisations.flatMap(organisation => {
        const key = keys[organisation.name]!;
        const reads: LoadPhase[] = [
            { startMs: 0, endMs: timeline.surgeStartMs, ratePerSecond: demandOf(organisation, "before") },
            {
                startMs: timeline.surgeStartMs,
                endMs: timeline.surgeEndMs,
                ratePerSecond: demandOf(organisation, "surge"),
            },
            { startMs: timeline.surgeEndMs, endMs: timeline.endMs, ratePerSecond: demandOf(organisation, "after") },
        ].map(phase => ({ ...phase, ratePerSecond: fraction * (phase.ratePerSecond - organisation.criticalRate) }));
        const bookings = [{ startMs: 0, endMs: timeline.endMs, ratePerSecond: fraction * organisation.criticalRate }];
        return [
            { name: organisation.name, key, method: "GET", path: "/catalogue/read/1", phases: reads },
            {
                name: criticalFlowName(organisation.name),
                key,
                method: "POST",
                path: "/catalogue/book/1",
                phases: bookings,
            },
        ];
    });
}
