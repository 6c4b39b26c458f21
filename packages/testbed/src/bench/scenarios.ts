/**
 * All scenarios of the bench.
 */
import { configurationScenario } from "./configuration.js";
import { controlScenario } from "./control.js";
import { crashingRequest } from "./crashing-request.js";
import { fleetRateScenario } from "./fleet-rate.js";
import { hangScenario } from "./hang/hang-scenario.js";
import { overheadScenario } from "./overhead/overhead-scenario.js";
import { overloadScenario } from "./overload/overload-scenario.js";
import { rolling } from "./rolling.js";
import type { Scenario } from "./scenario.js";
import { silent } from "./silent.js";
import { transportScenario } from "./transport/transport-scenario.js";

/** Scenarios by the order in which they are listed. */
export const scenarios: readonly Scenario[] = [
    fleetRateScenario,
    rolling,
    crashingRequest,
    silent,
    configurationScenario,
    controlScenario,
    transportScenario,
    overloadScenario,
    overheadScenario,
    hangScenario,
];
