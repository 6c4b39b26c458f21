/**
 * All scenarios of the bench.
 */
import { rolling } from "./rolling.js";
import type { Scenario } from "./scenario.js";

/** Scenarios by the order in which they are listed. */
export const scenarios: readonly Scenario[] = [rolling];
