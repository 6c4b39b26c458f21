/**
 * Description of a test fleet and of its hosts.
 */
import type { Configuration } from "@radishrouter/core";
import type { z } from "zod";
import type { backendBehaviourSchema } from "../standin/backend-server.js";
import type { Child } from "./child.js";

/** Description of one host of a fleet. */
export interface HostSpecification {
    readonly name: string;
    readonly service: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly seat: number;
    readonly behaviour?: z.input<typeof backendBehaviourSchema>;
    /** Value of `limits` in the node's settings, such as `shutdownMs`. */
    readonly limits?: Record<string, number>;
}

/** Options of a fleet to start. */
export interface FleetOptions {
    readonly hosts: readonly HostSpecification[];
    readonly configuration: Configuration;
    /** Whether traffic between hosts and to the platform goes through the fault-injecting proxy. */
    readonly proxied?: boolean;
    /** Overload policies of the nodes, as in their settings; all policies when absent. */
    readonly policy?: "full" | "plain" | { readonly without: readonly string[]; };
    /**
     * Whether nodes connect to their backend servers directly. The proxy accepts every connection, so through it a node
     * does not see a connection refused when the backend server is down.
     */
    readonly directBackends?: boolean;
    /** Selects the address range, so that one process can start several fleets; the process id when absent. */
    readonly addressSeed?: number;
    /** Value of `rateLimiter` in the nodes' settings. */
    readonly rateLimiter?: "leased" | "static";
    /** Further settings of the nodes, such as `statsd`. */
    readonly settings?: Record<string, unknown>;
    /** Environment variables of the nodes, such as `DEBUG`. */
    readonly environment?: Record<string, string>;
}

/** One running host and its processes. */
export interface FleetHost {
    readonly specification: HostSpecification;
    readonly address: string;
    readonly settingsFile: string;
    node: Child;
    backend: Child;
}
