/**
 * Hands each change of the list of backend servers to the components of a node that follow it.
 */
import type { CrashingRequests } from "./crashing-requests.js";
import type { LoadBalancer } from "./load-balancer.js";
import type { LocalServerUpdates } from "./local-server-updates.js";
import type { NodeQuota } from "./node-quota.js";
import type { RequestLog } from "./request-log.js";
import { followServerChanges } from "./server-change-followers.js";
import type { DirectoryChange, ServerDirectory } from "./server-directory.js";

/** Components that follow changes. */
export interface ServerChangeFollowers {
    readonly directory: ServerDirectory;
    readonly log: RequestLog;
    readonly crashing: CrashingRequests;
    readonly quota: NodeQuota;
    readonly balancer: LoadBalancer;
    readonly localUpdates: LocalServerUpdates;
}

/** Follows the list until the process ends. */
export function followListedServers(
    { directory, log, crashing, quota, balancer, localUpdates }: ServerChangeFollowers,
): void {
    const isGone = ({ kind, server }: DirectoryChange) => kind === "left" && !directory.hasHost(server.hostAddress);
    followServerChanges(directory, log, [
        { name: "quarantine", apply: createQuarantineQuestion(directory, crashing) },
        {
            name: "log",
            apply: ({ server: { instance, service }, kind, cause }) =>
                log.event(`server-${kind}`, { instance, service, cause }),
        },
        {
            name: "departures",
            apply: change => {
                if (isGone(change)) {
                    balancer.remove(change.server.hostAddress);
                }
            },
        },
        {
            name: "unlisted-hosts",
            apply: ({ kind, server }) => {
                if (kind === "left") {
                    crashing.exchange.recordUnlisted(server.service, server.hostAddress);
                }
            },
        },
        { name: "quota", apply: change => quota.applyServerChange(change) },
        { name: "local-server", apply: change => localUpdates.applyServerChange(change) },
    ]);
}

/** Asks other nodes, as soon as they are known, which requests end servers: this process has only just started. */
function createQuarantineQuestion(directory: ServerDirectory, crashing: CrashingRequests): () => void {
    let hasAsked = false;
    return () => {
        if (!hasAsked && directory.hasList) {
            hasAsked = true;
            crashing.exchange.askOthers();
        }
    };
}
