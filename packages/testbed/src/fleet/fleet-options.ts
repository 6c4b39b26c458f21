/**
 * What a fleet of a test consists of.
 */
import type { Configuration } from "@radishrouter/core";
import type { z } from "zod";
import type { backendBehaviourSchema } from "../standin/backend-server.js";
import type { Child } from "./child.js";

/** One host of a fleet. */
export interface HostSpecification {
    readonly name: string;
    readonly service: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly seat: number;
    readonly behaviour?: z.input<typeof backendBehaviourSchema>;
    /** Limits of the node's settings, such as `shutdownMs`. */
    readonly limits?: Record<string, number>;
}

/** A fleet to start. */
export interface FleetOptions {
    readonly hosts: readonly HostSpecification[];
    readonly configuration: Configuration;
    /** Whether traffic between hosts and to the platform goes through the fault-injecting proxy. */
    readonly proxied?: boolean;
    /** Overload policies of the nodes, as in their settings; all when absent. */
    readonly policy?: "full" | "plain" | { readonly without: readonly string[]; };
    /** Whether nodes reach their backend servers past the proxy, which cannot refuse a connection as a host does. */
    readonly directBackends?: boolean;
    /** Distinguishes fleets of one process. */
    readonly addressSeed?: number;
    /** Rate limiter of the nodes; see the settings. */
    readonly rateLimiter?: "leased" | "static";
    /** Further settings of the nodes, such as `statsd`. */
    readonly settings?: Record<string, unknown>;
    /** Environment of the nodes, such as `DEBUG`. */
    readonly environment?: Record<string, string>;
}

/** One host that is running. */
export interface FleetHost {
    readonly specification: HostSpecification;
    readonly address: string;
    readonly settingsFile: string;
    node: Child;
    backend: Child;
}
