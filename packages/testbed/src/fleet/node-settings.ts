/**
 * Settings of the nodes of a test fleet.
 */
import { ports } from "./addresses.js";
import type { FleetOptions, HostSpecification } from "./fleet-options.js";

/** Addresses of a node and of the processes that it connects to. */
export interface NodeAddresses {
    readonly host: string;
    readonly platform: string;
    readonly backendServer: string;
}

const deploymentSecret = "secret-of-the-test-deployment";

/** Creates the settings document of a node. */
export function createNodeSettings(
    options: Pick<FleetOptions, "policy" | "settings" | "rateLimiter">,
    specification: HostSpecification,
    addresses: NodeAddresses,
): Record<string, unknown> {
    return {
        host: specification.name,
        address: addresses.host,
        loopbackAddress: addresses.host,
        failureDomain: specification.failureDomain,
        region: specification.region,
        service: specification.service,
        seat: specification.seat,
        ports: {
            callers: ports.callers,
            forward: ports.forward,
            control: ports.control,
            backend: ports.backend,
            operators: ports.operators,
        },
        backendServer: { address: addresses.backendServer, port: ports.backendServer },
        platform: { url: `http://${addresses.platform}:${ports.platform}` },
        deploymentSecret,
        policy: options.policy,
        limits: specification.limits,
        ...options.settings,
        rateLimiter: options.rateLimiter,
    };
}
