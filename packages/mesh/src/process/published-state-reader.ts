/**
 * What the embedding program supplies to read and decode the state that operators and backend servers publish.
 */
import type { MeshConfiguration } from "../version/mesh-configuration.js";
import type { StatePosition, StateUpdate } from "../version/published-state.js";
import type { BackendServer } from "./server-directory.js";

/** Why the platform gave no update. */
export type PublishedStateFailure =
    /** The platform no longer has the changes after a position, or not yet: everything has to be read again. */
    | "position-unknown"
    | "refused"
    | "unreachable"
    | "invalid-answer";

/** Reports a question to the platform that failed or got an invalid response. */
export class PublishedStateError extends Error {
    private constructor(readonly failure: PublishedStateFailure, detail: string) {
        super(detail);
        this.name = "PublishedStateError";
    }

    static create(failure: PublishedStateFailure, detail: string): PublishedStateError {
        return new PublishedStateError(failure, detail);
    }
}

/** Reads the published state from the platform. */
export interface PublishedStateReader {
    /**
     * Reads the complete state.
     *
     * @throws PublishedStateError when the question fails.
     */
    readAll(): Promise<StateUpdate>;
    /**
     * Waits up to `waitMs` for changes after a position.
     *
     * @throws PublishedStateError when the question fails.
     */
    watch(position: StatePosition, waitMs: number): Promise<StateUpdate>;
}

/** A configuration, and what in its document could not be read. */
export interface DecodedConfiguration {
    readonly configuration: MeshConfiguration;
    /** One line for each field that could not be read. */
    readonly problems: readonly string[];
}

/** Meaning of a published item by its key. */
export type PublishedItemKind =
    | { readonly kind: "configuration"; }
    | { readonly kind: "server"; readonly instance: string; }
    /** While it is present, whatever its value, nothing is sent to the servers of the failure domain. */
    | { readonly kind: "evacuation"; readonly failureDomain: string; }
    | { readonly kind: "other"; };

/** Decodes published items; the functions that decode throw an error that says what cannot be read. */
export interface PublishedItemDecoder {
    kindOf(key: string): PublishedItemKind;
    decodeConfiguration(value: Buffer): DecodedConfiguration;
    decodeServer(instance: string, value: Buffer): BackendServer;
}
