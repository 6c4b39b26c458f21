/**
 * Sheds requests where they enter when services further down the chain are at capacity.
 */
import type { AdmissionLevel } from "../request/chain-pressure.js";
import type { Importance } from "../version/configuration.js";
import type { Clock } from "./clock.js";
import { EntryWindow } from "./entry-window.js";

/** Requests that are admitted together: one organisation on one route, which fixes the importance. */
export interface EntryFlow {
    readonly organisation: string;
    /** Names the route, such as `GET /catalogue/read/*`. */
    readonly routeName: string;
    readonly importance: Importance;
}

/** How the chain took an admitted request. */
export type ChainOutcome =
    /** An answer came back, with the tightest admission level that the request met, if any service told one. */
    | { readonly kind: "answered"; readonly level: AdmissionLevel | undefined; }
    /** The deadline passed or the caller went away, so that nothing is known. */
    | { readonly kind: "abandoned"; };

/** An admitted request; has to be ended exactly once. */
export interface EntryTicket {
    end(outcome: ChainOutcome): void;
}

/** Whether a request may enter. */
export type EntryDecision =
    | { readonly kind: "admitted"; readonly ticket: EntryTicket; }
    | { readonly kind: "refused"; readonly service: string; readonly retryAfterMs: number; };

const IDLE_MS = 10_000;
const FLOWS_AT_MOST = 20_000;

/**
 * Bounds the requests that each flow has in the chain at once, learned from the pressure that answers carry.
 *
 * The pressure is what the request itself met: its own wait in the queues below, or a refusal. Since these queues are
 * fair and ordered by importance, a flow within its share meets none and is never limited here. The bound is on
 * requests and not on their rate, so that it admits less as soon as a service slows down and more as soon as it is fast.
 */
export class EntryAdmission {
    private readonly windows = new Map<string, EntryWindow>();

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): EntryAdmission {
        return new EntryAdmission(clock);
    }

    /** Flows that are remembered. */
    get flowCount(): number {
        return this.windows.size;
    }

    /** Decides about one request of a flow. */
    tryAdmit(flow: EntryFlow): EntryDecision {
        const window = this.windowOf(flow);
        if (!window.tryOpen()) {
            return { kind: "refused", service: window.tightestService, retryAfterMs: window.retryAfterMs() };
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

    private windowOf(flow: EntryFlow): EntryWindow {
        const name = `${flow.organisation} ${flow.routeName}`;
        let window = this.windows.get(name);
        if (!window) {
            this.forgetIdle();
            window = EntryWindow.create(this.clock, flow.importance);
            this.windows.set(name, window);
        }
        return window;
    }

    private forgetIdle(): void {
        if (this.windows.size < FLOWS_AT_MOST) {
            return;
        }
        for (const [name, window] of this.windows) {
            if (window.idleMs() > IDLE_MS || this.windows.size >= FLOWS_AT_MOST) {
                this.windows.delete(name);
            }
        }
    }
}
