/**
 * All scenarios of the bench.
 */
import { fleetRateScenario } from "./fleet-rate.js";
import type { Scenario } from "./scenario.js";
import { transportScenario } from "./transport/transport-scenario.js";

/** Scenarios by the order in which they are listed. */
export const scenarios: readonly Scenario[] = [
    fleetRateScenario,
    transportScenario,
];
