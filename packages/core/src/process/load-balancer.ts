/**
 * Chooses the backend server for a request by what was observed of each.
 */
import type { Host } from "../version/host-list.js";

/** Requests that this node has in flight on other hosts, and how those fared. */
interface ObservedHost {
    inFlight: number;
    latencyMs: number;
}

const LATENCY_WEIGHT = 0.2;

/** Chooses between two random candidates by requests in flight and latency. */
export class LoadBalancer {
    private readonly observed = new Map<string, ObservedHost>();

    private constructor(private readonly random: () => number) {}

    static create(options: { random?: () => number; } = {}): LoadBalancer {
        return new LoadBalancer(options.random ?? Math.random);
    }

    /** Chooses a host among candidates; undefined when there is none. */
    choose(candidates: readonly Host[]): Host | undefined {
        const first = candidates[Math.floor(this.random() * candidates.length)];
        const second = candidates[Math.floor(this.random() * candidates.length)];
        if (!first || !second) {
            return first;
        }
        return this.cost(first) <= this.cost(second) ? first : second;
    }

    /** Records that a request was sent to a host; call the result when it ended. */
    start(host: Host): (latencyMs: number) => void {
        const entry = this.entry(host);
        entry.inFlight++;
        let ended = false;
        return latencyMs => {
            if (!ended) {
                ended = true;
                entry.inFlight--;
                entry.latencyMs += (latencyMs - entry.latencyMs) * LATENCY_WEIGHT;
            }
        };
    }

    private cost(host: Host): number {
        const entry = this.entry(host);
        return (entry.inFlight + 1) * (entry.latencyMs + 1);
    }

    private entry(host: Host): ObservedHost {
        let entry = this.observed.get(host.name);
        if (!entry) {
            entry = { inFlight: 0, latencyMs: 0 };
            this.observed.set(host.name, entry);
        }
        return entry;
    }
}
