/**
 * Which servers are in the choice for a request: those that can be used, and servers that name a rate for a part of the
 * requests only.
 */
import type { KnownServer } from "./server-directory.js";

/** Location of the node that chooses. */
export interface BalancerOrigin {
    readonly failureDomain: string;
    readonly hostAddress: string;
}

/** Constraints of one choice. */
export interface SelectionRequest {
    readonly origin: BalancerOrigin;
    /** Servers of one service. */
    readonly candidates: readonly KnownServer[];
    /** Instances that were already tried for this request. */
    readonly tried: ReadonlySet<string>;
    /** Fraction of the requests for which the server on the origin's host is in the choice. */
    readonly localRateShare: number;
    /** Whether servers that are known to name a rate are left out, because the request was refused for one before. */
    readonly avoidsRateLimited: boolean;
    /** Whether the node on a server's host can be used. */
    readonly isReachable: (server: KnownServer) => boolean;
}

/** Share above which a server counts as one that names no rate. */
const UNLIMITED_SHARE = 0.95;

/** Servers that can be reached, without those that are avoided unless all are. */
export function availableServers(
    { candidates, tried, isReachable }: SelectionRequest,
    isAvoided: (server: KnownServer) => boolean,
): readonly KnownServer[] {
    const available: KnownServer[] = [];
    let avoided: KnownServer[] | undefined;
    for (const server of candidates) {
        if (tried.has(server.instance) || !isReachable(server)) {
            continue;
        }
        if (isAvoided(server)) {
            (avoided ??= []).push(server);
        }
        else {
            available.push(server);
        }
    }
    return available.length > 0 ? available : avoided ?? available;
}

/**
 * Servers that are in the choice for one request, by the fraction of the requests that each is to get; all of them if
 * none is. `avoidsLimited` leaves out all servers that name a rate.
 */
export function serversWithinRate(
    servers: readonly KnownServer[],
    shareOf: (server: KnownServer) => number,
    avoidsLimited: boolean,
    random: () => number,
): readonly KnownServer[] {
    const isWithin = (server: KnownServer) => {
        const share = shareOf(server);
        return share > UNLIMITED_SHARE || (!avoidsLimited && random() < share);
    };
    const within = servers.filter(isWithin);
    return within.length > 0 ? within : servers;
}
