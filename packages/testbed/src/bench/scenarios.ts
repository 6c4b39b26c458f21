/**
 * All scenarios of the bench.
 */
import { fleetRateScenario } from "./fleet-rate.js";
import { hangScenario } from "./hang/hang-scenario.js";
import { overheadScenario } from "./overhead/overhead-scenario.js";
import { overloadScenario } from "./overload/overload-scenario.js";
import type { Scenario } from "./scenario.js";
import { transportScenario } from "./transport/transport-scenario.js";

/** Scenarios by the order in which they are listed. */
export const scenarios: readonly Scenario[] = [
    overloadScenario,
    overheadScenario,
    hangScenario,
    fleetRateScenario,
    transportScenario,
];
