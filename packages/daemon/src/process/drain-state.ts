/**
 * Progress of a node's planned stop.
 */

/** Stage of a planned stop. */
export type DrainStage =
    | "running"
    /** New work is still accepted, and its senders are told to choose another node. */
    | "draining"
    /** Work of other nodes is rejected; requests of callers on connections that are still open run on other hosts. */
    | "stopping";

/** Stage of the planned stop of this node, which only moves forward. */
export class DrainState {
    private current: DrainStage = "running";

    private constructor() {}

    static create(): DrainState {
        return new DrainState();
    }

    get stage(): DrainStage {
        return this.current;
    }

    /** From now on, senders are told to choose another node. */
    startDraining(): void {
        this.current = "draining";
    }

    /** From now on, new work of other nodes is rejected. */
    refuse(): void {
        this.current = "stopping";
    }
}
