/**
 * Finds the route of a request by host name and longest path prefix.
 */
import type { Route } from "./mesh-configuration.js";

/** Routes of one configuration version, indexed so that the cost of a lookup depends only on the depth of the path. */
export class RouteTable {
    private constructor(private readonly hosts: ReadonlyMap<string, ReadonlyMap<string, Route>>) {}

    static create(routes: readonly Route[]): RouteTable {
        const hosts = new Map<string, Map<string, Route>>();
        for (const route of routes) {
            const hostName = normalizeHostName(route.hostName);
            const prefixes = hosts.get(hostName) ?? new Map<string, Route>();
            prefixes.set(route.pathPrefix, route);
            hosts.set(hostName, prefixes);
        }
        return new RouteTable(hosts);
    }

    /** Finds the route with the longest prefix of the path of `target`; undefined when none matches. */
    find(hostHeader: string, target: string): Route | undefined {
        const prefixes = this.hosts.get(normalizeHostName(hostHeader));
        if (!prefixes) {
            return undefined;
        }
        const queryStart = target.indexOf("?");
        const path = queryStart < 0 ? target : target.slice(0, queryStart);
        for (let end = path.lastIndexOf("/"); end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
            const route = prefixes.get(path.slice(0, end + 1));
            if (route) {
                return route;
            }
        }
        return undefined;
    }
}

/** Host name in lower case and without a port. */
function normalizeHostName(host: string): string {
    const portStart = host.indexOf(":");
    return (portStart < 0 ? host : host.slice(0, portStart)).toLowerCase();
}
