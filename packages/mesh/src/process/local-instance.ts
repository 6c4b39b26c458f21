/**
 * Tracks which instance (one start) of the backend server runs on this node's host.
 *
 * Handles the requests that follow a restart: other nodes still name the instance that ran here before. The node on the
 * server's host learns of the restart earlier, so it requests the instance that it knows of instead of the one that
 * the sender named. That saves the sender another attempt.
 */

/** Current instance of the local backend server; the server's own report takes precedence over its list entry. */
export class LocalInstance {
    private listed: string | undefined;
    private reported: string | undefined;

    private constructor() {}

    static create(): LocalInstance {
        return new LocalInstance();
    }

    /** Instance that is assumed to run; undefined when none is known. */
    get current(): string | undefined {
        return this.reported ?? this.listed;
    }

    /** Sets the instance of the newest entry at the local address; a changed entry replaces an earlier report. */
    setListed(instance: string | undefined): void {
        if (instance !== this.listed) {
            this.listed = instance;
            this.reported = undefined;
        }
    }

    /** Sets the instance that the server itself reported. */
    setReported(instance: string): void {
        this.reported = instance;
    }
}
