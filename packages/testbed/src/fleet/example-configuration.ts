/**
 * Example configurations for tests, benches and the demo.
 */
import { configurationSchema, createAccessKey } from "@radishrouter/core";
import type { Configuration, Organisation, Service } from "@radishrouter/core";

/** A configuration and the access keys of its organisations. */
export interface ExampleConfiguration {
    readonly configuration: Configuration;
    /** Access key of each organisation, by organisation name. */
    readonly keys: Readonly<Record<string, string>>;
}

/** Contents of an example configuration, except the access keys, which are generated. */
export interface ExampleOptions {
    readonly organisations: Readonly<Record<string, { readonly rate: number; readonly burst: number; }>>;
    readonly services: Readonly<Record<string, Partial<Service>>>;
    readonly failureDomains: Readonly<Record<string, { readonly region: string; readonly seats: number; }>>;
}

const defaultRoutes: Service["routes"] = [
    { method: "GET", path: "/read/*", idempotent: true, open: false, importance: "normal", deadlineMs: 5_000 },
    { method: "GET", path: "/open/*", idempotent: true, open: true, importance: "background", deadlineMs: 5_000 },
    { method: "POST", path: "/book/*", idempotent: false, open: false, importance: "critical", deadlineMs: 5_000 },
];

/** Creates a configuration with one generated access key for each organisation. */
export function createExampleConfiguration(options: ExampleOptions): ExampleConfiguration {
    const organisations: Record<string, Organisation> = {};
    const keys: Record<string, string> = {};
    for (const [name, limits] of Object.entries(options.organisations)) {
        const { key, record } = createAccessKey();
        organisations[name] = { ...limits, keys: [record] };
        keys[name] = key;
    }
    const services = Object.fromEntries(
        Object.entries(options.services).map(([name, service]) => [name, {
            slots: 64,
            connections: 256,
            routes: defaultRoutes,
            ...service,
        }]),
    );
    const document = { version: 1, organisations, services, failureDomains: options.failureDomains };
    return { configuration: configurationSchema.parse(document), keys };
}
