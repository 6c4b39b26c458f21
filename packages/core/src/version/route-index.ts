/**
 * Finds the route of a request within one configuration version.
 */
import type { Configuration, Route, Service } from "./configuration.js";
import { parseRequestTarget } from "./request-target.js";

/** Service and route of a request. */
export interface MatchedRoute {
    readonly serviceName: string;
    readonly service: Service;
    readonly route: Route;
    /** Path and query that the backend server receives, without the service name. */
    readonly backendPath: string;
}

interface CompiledRoute {
    readonly route: Route;
    readonly pattern: RegExp;
}

function compilePath(path: string): RegExp {
    const source = path
        .split("/")
        .map(segment => {
            if (segment === "*") {
                return ".*";
            }
            return segment.startsWith(":") ? "[^/]+" : segment.replace(/[.*+?^${}()|[\]\\]/g, "\\$&");
        })
        .join("/");
    return new RegExp(`^${source}$`);
}

/** Whether an earlier route path matches every request that a later one matches. */
export function coversPath(earlier: string, later: string): boolean {
    const earlierSegments = earlier.split("/");
    const laterSegments = later.split("/");
    for (const [index, segment] of earlierSegments.entries()) {
        const other = laterSegments[index];
        if (segment === "*") {
            return other !== undefined;
        }
        const isCovered = segment === other || (segment.startsWith(":") && other !== undefined && other !== "*");
        if (!isCovered) {
            return false;
        }
    }
    return earlierSegments.length === laterSegments.length;
}

/** All routes of one configuration version; the first path segment of a request names its service. */
export class RouteIndex {
    private constructor(
        private readonly configuration: Configuration,
        private readonly routes: ReadonlyMap<string, readonly CompiledRoute[]>,
    ) {}

    static create(configuration: Configuration): RouteIndex {
        const routes = new Map<string, readonly CompiledRoute[]>();
        for (const [name, service] of Object.entries(configuration.services)) {
            routes.set(name, service.routes.map(route => ({ route, pattern: compilePath(route.path) })));
        }
        return new RouteIndex(configuration, routes);
    }

    /** Finds the route for a method and a request target such as `/items/search?q=1`. */
    find(method: string, target: string): MatchedRoute | undefined {
        const parsed = parseRequestTarget(target);
        if (parsed.kind === "invalid") {
            return undefined;
        }
        const { serviceName, path, query } = parsed;
        const found = this.routes.get(serviceName)
            ?.find(({ route, pattern }) => route.method === method && pattern.test(path));
        if (!found) {
            return undefined;
        }
        const service = this.configuration.services[serviceName]!;
        return { serviceName, service, route: found.route, backendPath: path + query };
    }
}
