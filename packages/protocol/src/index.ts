/**
 * Messages that nodes exchange and the service that carries them, generated from `proto/`.
 */
export * from "./generated/radishrouter/v1/configuration_pb.js";
export * from "./generated/radishrouter/v1/control_pb.js";
export * from "./generated/radishrouter/v1/incarnation_pb.js";
export * from "./generated/radishrouter/v1/lease_pb.js";
export * from "./generated/radishrouter/v1/membership_pb.js";
export * from "./generated/radishrouter/v1/quarantine_pb.js";
