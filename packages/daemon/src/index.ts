/**
 * Public interface of the node, for programs that start a node in their own process.
 */
export { Node } from "./process/node.js";
export { readSettings, SettingsError, settingsSchema } from "./process/settings.js";
export type { Settings } from "./process/settings.js";
export { problemDocumentSchema } from "./request/problem-document.js";
export type { ProblemDocument } from "./request/problem-document.js";
/** @internal Components of a node, for measuring the cost of its control traffic. */
export { DeploymentProof } from "./process/deployment-proof.js";
/** @internal Membership and configuration, for the same measurements. */
export { FleetState } from "./process/fleet-state.js";
/** @internal Rate limiter, for the same measurements. */
export { createRateLimiter } from "./process/node-rate-limiter.js";
