/**
 * Stand-ins, fault-injecting proxy, fleets, demo and bench; private to this repository.
 */
export { createExampleConfiguration } from "./fleet/example-configuration.js";
export { Fleet, waitFor } from "./fleet/fleet.js";
