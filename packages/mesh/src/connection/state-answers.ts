/**
 * Answers nodes that follow this one for published state: at once if there is something newer, else after a while.
 */
import type { Clock } from "@radishrouter/core";
import type { ConfigurationLease } from "../version/configuration-lease.js";
import type { PublishedState, StatePosition, StateUpdate } from "../version/published-state.js";
import type { StateReport } from "./link-message.js";

/** What the answers are made from. */
export interface StateAnswersDependencies {
    readonly clock: Clock;
    readonly state: PublishedState;
    readonly lease: ConfigurationLease;
    /** Time since an outage of the platform ended. */
    readonly sinceOutageMs: () => number;
    readonly activeConfigurationVersion: () => number | undefined;
}

/** Longest time for which an answer waits, whatever the question says. */
const MAXIMUM_WAIT_MS = 2_000;

/** Answers questions for published state. */
export class StateAnswers {
    private constructor(private readonly dependencies: StateAnswersDependencies) {}

    static create(dependencies: StateAnswersDependencies): StateAnswers {
        return new StateAnswers(dependencies);
    }

    /** Calls back with the answer, as soon as there is an update after `position`, or else after `waitMs`. */
    answer(position: StatePosition | undefined, waitMs: number, reply: (report: StateReport) => void): void {
        const { clock, state } = this.dependencies;
        const receivedAtMs = clock.nowMs();
        const update = state.updateSince(position);
        if (waitMs <= 0 || !state.position || update) {
            reply(this.report(update, receivedAtMs));
            return;
        }
        const end = () => {
            timer.cancel();
            stopListening();
            reply(this.report(state.updateSince(position), receivedAtMs));
        };
        const timer = clock.setTimer(Math.min(waitMs, MAXIMUM_WAIT_MS), end);
        const stopListening = state.onceUpdated(end);
    }

    private report(update: StateUpdate | undefined, receivedAtMs: number): StateReport {
        const { clock, state, lease, sinceOutageMs, activeConfigurationVersion } = this.dependencies;
        return {
            position: state.position,
            update,
            proofAgeMs: lease.ageMs(),
            heldMs: clock.nowMs() - receivedAtMs,
            sinceOutageMs: sinceOutageMs(),
            configurationVersion: activeConfigurationVersion(),
        };
    }
}
