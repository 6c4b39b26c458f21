/**
 * All scenarios of the bench.
 */
import { configurationScenario } from "./configuration.js";
import { controlScenario } from "./control.js";
import { crashingRequestScenario } from "./crashing-request.js";
import { fleetRateScenario } from "./fleet-rate.js";
import { hangScenario } from "./hang/hang-scenario.js";
import { overheadScenario } from "./overhead/overhead-scenario.js";
import { overloadScenario } from "./overload/overload-scenario.js";
import { rollingScenario } from "./rolling.js";
import type { Scenario } from "./scenario.js";
import { silentScenario } from "./silent.js";
import { transportScenario } from "./transport/transport-scenario.js";

/** Scenarios in the order in which the usage message lists them. */
export const scenarios: readonly Scenario[] = [
    fleetRateScenario,
    rollingScenario,
    crashingRequestScenario,
    silentScenario,
    configurationScenario,
    controlScenario,
    transportScenario,
    overloadScenario,
    overheadScenario,
    hangScenario,
];
