/**
 * Stand-ins, fault-injecting proxy, fleets, demo and bench; private to this repository.
 */
export { createExampleConfiguration } from "./fleet/example-configuration.js";
export { Fleet } from "./fleet/fleet.js";
export { waitFor } from "./fleet/wait-for.js";
