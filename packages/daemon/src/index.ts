/**
 * The node of radishrouter, for programs that start it themselves.
 */
export { Node } from "./process/node.js";
export { readSettings, SettingsError, settingsSchema } from "./process/settings.js";
export type { Settings } from "./process/settings.js";
export { problemDocumentSchema } from "./request/problem-document.js";
export type { ProblemDocument } from "./request/problem-document.js";
/** @internal Parts of a node for measurements of what control costs. */
export { DeploymentProof } from "./process/deployment-proof.js";
/** @internal */
export { FleetState } from "./process/fleet-state.js";
/** @internal */
export { createRateLimiter } from "./process/node-rate-limiter.js";
