/**
 * Which start of the backend server runs beside this node.
 *
 * Answers a load that follows a restart: other nodes still name the server that ran here before. The node beside the
 * server knows better, so it asks for the instance that it believes in and spares the others a round.
 */

/** Belief about the own backend server; what the server says of itself goes before its entry in the list. */
export class LocalInstance {
    private listed: string | undefined;
    private told: string | undefined;

    private constructor() {}

    static create(): LocalInstance {
        return new LocalInstance();
    }

    /** Instance that is believed to run; undefined when nothing is known. */
    get current(): string | undefined {
        return this.told ?? this.listed;
    }

    /** Adopts the newest entry at the own address; a changed entry goes before what was told earlier. */
    setListed(instance: string | undefined): void {
        if (instance !== this.listed) {
            this.listed = instance;
            this.told = undefined;
        }
    }

    /** Adopts what the server said of itself. */
    setReported(instance: string): void {
        this.told = instance;
    }
}
