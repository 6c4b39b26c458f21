/**
 * Sheds requests at the node where they enter the call graph when downstream services are at capacity.
 */
import type { AdmissionLevel } from "../request/chain-pressure.js";
import type { Importance } from "../version/configuration.js";
import type { Clock } from "./clock.js";
import { EntryWindow } from "./entry-window.js";

/** Requests that share one admission window: those of one organisation on one route. The route sets the importance. */
export interface EntryFlow {
    readonly organisation: string;
    /** Names the route, such as `GET /catalogue/read/*`. */
    readonly routeName: string;
    readonly importance: Importance;
}

/** Outcome of an admitted request in the call graph. */
export type ChainOutcome =
    /** A response arrived, with the highest admission level along the call graph, if any service reported one. */
    | { readonly kind: "answered"; readonly level: AdmissionLevel | undefined; }
    /** The deadline passed or the caller disconnected, so that the pressure is unknown. */
    | { readonly kind: "abandoned"; };

/** Admitted request; `end` has to be called when the request ends, and only the first call counts. */
export interface EntryTicket {
    end(outcome: ChainOutcome): void;
}

/** Decision whether a request is admitted. */
export type EntryDecision =
    | { readonly kind: "admitted"; readonly ticket: EntryTicket; }
    | { readonly kind: "refused"; readonly service: string; readonly retryAfterMs: number; };

/** Idle time after which the window of a flow is removed once {@link MAXIMUM_FLOWS} is reached. */
const IDLE_TIMEOUT_MS = 10_000;
const MAXIMUM_FLOWS = 20_000;

/**
 * Limits the requests that each flow has in flight in the call graph, based on the pressure that responses report.
 *
 * The pressure is measured by the request itself: its wait in the queues of downstream services, or a refusal. These
 * queues are fair and ordered by importance, so a flow within its share has no pressure and is never limited here. The
 * limit applies to requests in flight and not to their rate, so that it admits fewer requests as soon as a service
 * slows down and more as soon as the service is fast again.
 */
export class EntryAdmission {
    private readonly windows = new Map<string, EntryWindow>();

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): EntryAdmission {
        return new EntryAdmission(clock);
    }

    /** Number of flows that have a window. */
    get flowCount(): number {
        return this.windows.size;
    }

    /** Decides whether to admit one request of a flow. */
    tryAdmit(flow: EntryFlow): EntryDecision {
        const window = this.getOrCreateWindow(flow);
        if (!window.tryOpen()) {
            return { kind: "refused", service: window.bottleneckService, retryAfterMs: window.retryAfterMs() };
        }
        const startMs = this.clock.nowMs();
        let ended = false;
        const end = (outcome: ChainOutcome) => {
            if (!ended) {
                ended = true;
                window.close(outcome, this.clock.nowMs() - startMs);
            }
        };
        return { kind: "admitted", ticket: { end } };
    }

    private getOrCreateWindow(flow: EntryFlow): EntryWindow {
        const name = `${flow.organisation} ${flow.routeName}`;
        let window = this.windows.get(name);
        if (!window) {
            this.evictFlows();
            window = EntryWindow.create(this.clock, flow.importance);
            this.windows.set(name, window);
        }
        return window;
    }

    private evictFlows(): void {
        if (this.windows.size < MAXIMUM_FLOWS) {
            return;
        }
        for (const [name, window] of this.windows) {
            if (window.idleMs() > IDLE_TIMEOUT_MS || this.windows.size >= MAXIMUM_FLOWS) {
                this.windows.delete(name);
            }
        }
    }
}
