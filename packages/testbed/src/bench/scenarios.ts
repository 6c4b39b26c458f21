/**
 * All scenarios of the bench.
 */
import { hangScenario } from "./hang/hang-scenario.js";
import { overloadScenario } from "./overload/overload-scenario.js";
import type { Scenario } from "./scenario.js";

/** Scenarios by the order in which they are listed. */
export const scenarios: readonly Scenario[] = [
    overloadScenario,
    hangScenario,
];
