/**
 * Distributes the requests of a route among its destinations by weight.
 */
import type { Destination, Route } from "./mesh-configuration.js";

interface DestinationState {
    readonly destination: Destination;
    currentWeight: number;
}

interface RouteState {
    /** Services and weights for which the states were created. */
    readonly key: string;
    readonly states: DestinationState[];
}

/** Smooth weighted round robin: each destination gets its share in every sequence of requests, not only on average. */
export class WeightedRoundRobin {
    private readonly routes = new Map<string, RouteState>();

    private constructor() {}

    static create(): WeightedRoundRobin {
        return new WeightedRoundRobin();
    }

    /** Chooses the service for the next request of a route. */
    next(route: Route): string {
        const [first] = route.destinations;
        if (first && route.destinations.length === 1) {
            return first.service;
        }
        const { states } = this.stateOf(route);
        const totalWeight = states.reduce((sum, { destination }) => sum + destination.weight, 0);
        for (const state of states) {
            state.currentWeight += state.destination.weight;
        }
        const chosen = states.reduce((best, state) => state.currentWeight > best.currentWeight ? state : best);
        chosen.currentWeight -= totalWeight;
        return chosen.destination.service;
    }

    /** Removes the state of all routes except the named ones. */
    retain(names: ReadonlySet<string>): void {
        for (const name of this.routes.keys()) {
            if (!names.has(name)) {
                this.routes.delete(name);
            }
        }
    }

    private stateOf(route: Route): RouteState {
        const key = route.destinations.map(({ service, weight }) => `${service}=${weight}`).join(",");
        const existing = this.routes.get(route.name);
        if (existing?.key === key) {
            return existing;
        }
        const states = route.destinations.map(destination => ({
            destination,
            currentWeight: Math.random() * destination.weight,
        }));
        const created = { key, states };
        this.routes.set(route.name, created);
        return created;
    }
}
