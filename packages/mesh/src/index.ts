/**
 * The request path of a node. The embedding program supplies the configuration and the list of backend servers.
 */
export * from "./connection/http-exchange.js";
export * from "./connection/link-message.js";
export * from "./connection/message-frame.js";
export * from "./connection/message-socket.js";
export * from "./connection/node-listeners.js";
export * from "./connection/peer-clock.js";
export * from "./connection/peer-link.js";
export * from "./connection/status-server.js";
export * from "./connection/token-broker.js";
export * from "./process/downstream-pressure.js";
export * from "./process/downstream-throttle.js";
export * from "./process/load-balancer.js";
export * from "./process/local-instance.js";
export * from "./process/mesh-metrics.js";
export * from "./process/mesh-node.js";
export * from "./process/organisation-quota.js";
export * from "./process/organisation-usage-counters.js";
export * from "./process/peer-health.js";
export * from "./process/phased-limit.js";
export * from "./process/process-overload-guard.js";
export * from "./process/request-log.js";
export * from "./process/server-directory.js";
export * from "./process/server-gate.js";
export * from "./process/service-retry-budget.js";
export * from "./request/header-filter.js";
export * from "./request/header-names.js";
export * from "./request/request-admission.js";
export * from "./version/configuration-lease.js";
export * from "./version/indexed-configuration.js";
export * from "./version/mesh-configuration.js";
export * from "./version/route-table.js";
export * from "./version/weighted-round-robin.js";
