/**
 * Coordination parts of radishrouter for use in other programs: limiters, retry budget, load balancer, membership
 * view, outcome ledger and audit trail, and the schemas of everything that operators publish.
 */
export * from "./connection/control-transport.js";
export * from "./process/adaptive-limit.js";
export * from "./process/audit-trail.js";
export * from "./process/clock.js";
export * from "./process/concurrency-limiter.js";
export * from "./process/document-distributor.js";
export * from "./process/document-replica.js";
export * from "./process/entry-admission.js";
export * from "./process/failure-detector.js";
export * from "./process/fair-queue.js";
export * from "./process/host-belief.js";
export * from "./process/idempotency-table.js";
export * from "./process/load-balancer.js";
export * from "./process/membership-agent.js";
export * from "./process/membership-view.js";
export * from "./process/operator-interface.js";
export * from "./process/outcome-ledger.js";
export * from "./process/rate-limiter.js";
export * from "./process/rate-share/index.js";
export * from "./process/rendezvous-hash.js";
export * from "./process/seat-authority.js";
export * from "./process/seat-directory.js";
export * from "./process/startup-gate.js";
export * from "./process/token-bucket.js";
export * from "./process/watch-plan.js";
export * from "./request/chain-pressure.js";
export * from "./request/retry-budget.js";
export * from "./result-code.js";
export * from "./version/access-key.js";
export * from "./version/configuration-version.js";
export * from "./version/configuration.js";
export * from "./version/document-shape.js";
export * from "./version/host-list.js";
export * from "./version/idempotency-key.js";
export * from "./version/published-document.js";
export * from "./version/request-explanation.js";
export * from "./version/request-target.js";
export * from "./version/route-index.js";
export * from "./version/share-rule.js";
export * from "./version/source-checks.js";
export * from "./version/source-compiler.js";
export * from "./version/source-problem.js";
