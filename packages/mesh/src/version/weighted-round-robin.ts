/**
 * Divides the requests of a route among its destinations by weight.
 */
import type { Destination, Route } from "./mesh-configuration.js";

interface Share {
    readonly destination: Destination;
    current: number;
}

interface RouteShares {
    readonly key: string;
    readonly shares: Share[];
}

/** Smooth weighted round robin: each destination gets its part in every stretch of requests, not only on average. */
export class WeightedRoundRobin {
    private readonly routes = new Map<string, RouteShares>();

    private constructor() {}

    static create(): WeightedRoundRobin {
        return new WeightedRoundRobin();
    }

    /** Service that the next request of a route goes to. */
    next(route: Route): string {
        const [first] = route.destinations;
        if (first && route.destinations.length === 1) {
            return first.service;
        }
        const { shares } = this.sharesOf(route);
        const total = shares.reduce((sum, { destination }) => sum + destination.weight, 0);
        for (const share of shares) {
            share.current += share.destination.weight;
        }
        const chosen = shares.reduce((best, share) => share.current > best.current ? share : best);
        chosen.current -= total;
        return chosen.destination.service;
    }

    /** Forgets routes that are no longer published. */
    retain(names: ReadonlySet<string>): void {
        for (const name of this.routes.keys()) {
            if (!names.has(name)) {
                this.routes.delete(name);
            }
        }
    }

    private sharesOf(route: Route): RouteShares {
        const key = route.destinations.map(({ service, weight }) => `${service}=${weight}`).join(",");
        const known = this.routes.get(route.name);
        if (known?.key === key) {
            return known;
        }
        const shares = route.destinations.map(destination => ({
            destination,
            current: Math.random() * destination.weight,
        }));
        const created = { key, shares };
        this.routes.set(route.name, created);
        return created;
    }
}
