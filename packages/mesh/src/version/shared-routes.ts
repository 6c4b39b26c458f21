/**
 * Which services get requests of the same routes, at once or one after another.
 */
import type { MeshConfiguration } from "./mesh-configuration.js";

/** Services of the routes of the active configuration, with those that earlier ones named for the same routes. */
export class SharedRoutes {
    /** Services by route name, for routes of the active configuration. */
    private services = new Map<string, ReadonlySet<string>>();

    private constructor() {}

    static create(): SharedRoutes {
        return new SharedRoutes();
    }

    /** Applies a configuration that becomes active. */
    apply({ routes }: Pick<MeshConfiguration, "routes">): void {
        const before = this.services;
        this.services = new Map(routes.map(({ name, destinations }) => [
            name,
            new Set([...before.get(name) ?? [], ...destinations.map(({ service }) => service)]),
        ]));
    }

    /** Other services that get, or got, requests of a route of a service. */
    siblingsOf(service: string): string[] {
        const shared = [...this.services.values()].filter(services => services.has(service));
        return [...new Set(shared.flatMap(services => [...services]))].filter(name => name !== service);
    }
}
