/**
 * How far the planned stop of a node has come.
 */

/** Stage of a planned stop. */
export type DrainStage =
    | "running"
    /** New work is still taken, and everyone who sends some is told to send it elsewhere. */
    | "draining"
    /** Work of other nodes is refused; what callers still send on open connections runs on other hosts. */
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

    /** Tells senders to go elsewhere. */
    drain(): void {
        this.current = "draining";
    }

    /** Refuses new work of other nodes. */
    refuse(): void {
        this.current = "stopping";
    }
}
