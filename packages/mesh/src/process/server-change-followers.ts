/**
 * Hands each change of a backend server to the components that follow the directory.
 *
 * Each follows on its own: a component that fails does not keep the others from learning of the change, and no request is
 * cut off for it.
 */
import type { RequestLog } from "./request-log.js";
import type { DirectoryChange, ServerDirectory } from "./server-directory.js";

/** A component that follows the directory. */
export interface ServerChangeFollower {
    /** Name in the log. */
    readonly name: string;
    readonly apply: (change: DirectoryChange) => void;
}

/** Lets components follow a directory; they learn of each change in the given order. */
export function followServerChanges(
    directory: ServerDirectory,
    log: RequestLog,
    followers: readonly ServerChangeFollower[],
): void {
    directory.events.on("changed", change => {
        followers.forEach(follower => applyChange(follower, change, log));
    });
}

function applyChange(follower: ServerChangeFollower, change: DirectoryChange, log: RequestLog): void {
    try {
        follower.apply(change);
    }
    catch (error) {
        log.problem("server-change-not-applied", {
            follower: follower.name,
            instance: change.server.instance,
            kind: change.kind,
            problem: error instanceof Error ? error.stack ?? error.message : String(error),
        });
    }
}
