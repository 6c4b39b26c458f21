/**
 * What nodes believe of one process on a host, and which of two beliefs holds.
 */

/** State of a process; the platform's list has a say of its own. */
export type HostBeliefState = "live" | "failed" | "leaving";

/** One belief about the process of a host. */
export interface HostBelief {
    readonly host: string;
    /** Start of the process in ms since 1970; tells processes of one host apart. */
    readonly incarnation: bigint;
    /** Grows when the process contradicts a belief about itself. */
    readonly revision: number;
    readonly state: HostBeliefState;
}

function stateRank(state: HostBeliefState): number {
    switch (state) {
        case "live":
            return 0;
        case "failed":
            return 1;
        case "leaving":
            return 2;
    }
}

/** Whether a belief replaces another about the same host; a process that is leaving never returns. */
export function overrides(next: HostBelief, current: HostBelief): boolean {
    if (next.incarnation !== current.incarnation) {
        return next.incarnation > current.incarnation;
    }
    if (current.state === "leaving" || next.state === "leaving") {
        return current.state !== "leaving";
    }
    if (next.revision !== current.revision) {
        return next.revision > current.revision;
    }
    return stateRank(next.state) > stateRank(current.state);
}
