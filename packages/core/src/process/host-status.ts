/**
 * Status of the process on a host as nodes report it to each other, and the rule by which one status overrides another.
 */

/** State of a process as nodes observed it; the host list of the platform has a separate state. */
export type HostStatusState = "live" | "failed" | "leaving";

/** Status of the process on a host. */
export interface HostStatus {
    readonly host: string;
    /** Start of the process in ms since 1970; distinguishes successive processes of one host. */
    readonly incarnation: bigint;
    /** Incremented by the process when it refutes a status that others report of it. */
    readonly revision: number;
    readonly state: HostStatusState;
}

function stateRank(state: HostStatusState): number {
    switch (state) {
        case "live":
            return 0;
        case "failed":
            return 1;
        case "leaving":
            return 2;
    }
}

/**
 * Whether a status overrides another one of the same host: a later incarnation does, then `leaving`, then a higher
 * revision, then the more severe state. A process that is `leaving` never becomes live again.
 */
export function overrides(next: HostStatus, current: HostStatus): boolean {
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
