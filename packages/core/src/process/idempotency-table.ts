/**
 * Stores requests by their idempotency key, so that each runs at most once.
 */
import type { Clock } from "./clock.js";

/** Response that is stored to be returned again for the same key. */
export interface StoredResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[]>>;
    readonly content: Buffer;
}

/** The only attempt that may run the request of a key; exactly one of its methods has to be called. */
export interface KeyAttempt {
    /** The request ran; stores its response if one is passed. */
    complete(answer: StoredResponse | undefined): void;
    /** The request did not run: the key may be used again. */
    release(): void;
    /** It is unknown whether the request ran. */
    markUnknown(): void;
}

/** Decision about a request with a key. */
export type KeyDecision =
    | { readonly kind: "run"; readonly attempt: KeyAttempt; }
    | { readonly kind: "running"; }
    | { readonly kind: "answered"; readonly answer: StoredResponse; }
    /** An earlier request with the key ran or may have run, and no response is stored. */
    | { readonly kind: "unknown"; }
    /** The key was used before for a request with another fingerprint. */
    | { readonly kind: "reused"; }
    /** The table has no capacity for another key. */
    | { readonly kind: "full"; };

/** Bounds of the table. */
export interface IdempotencyTableOptions {
    /** Milliseconds for which a key is stored after its request has ended. */
    readonly retentionMs: number;
    readonly maximumKeys: number;
    /** Limit of the stored responses in bytes; the oldest responses are dropped first, their keys stay. */
    readonly maximumResponseBytes: number;
}

type EntryState =
    | { readonly kind: "running"; }
    | { readonly kind: "answered"; readonly answer: StoredResponse; }
    | { readonly kind: "unknown"; };

interface Entry {
    readonly fingerprint: string;
    state: EntryState;
    endedAtMs: number;
}

/** Idempotency keys of requests that this process authorised. */
export class IdempotencyTable {
    private readonly running = new Map<string, Entry>();
    /** Ended entries, oldest first. */
    private readonly ended = new Map<string, Entry>();
    private readonly answered = new Set<Entry>();
    private answerBytes = 0;

    private constructor(private readonly clock: Clock, private readonly options: IdempotencyTableOptions) {}

    static create(clock: Clock, options: IdempotencyTableOptions): IdempotencyTable {
        return new IdempotencyTable(clock, options);
    }

    /** Number of stored keys. */
    get size(): number {
        return this.running.size + this.ended.size;
    }

    /** Decides about a request; the fingerprint distinguishes different requests that use the same key. */
    begin(key: string, fingerprint: string): KeyDecision {
        this.dropExpired();
        const entry = this.running.get(key) ?? this.ended.get(key);
        if (!entry) {
            return this.start(key, fingerprint);
        }
        return entry.fingerprint === fingerprint ? { ...entry.state } : { kind: "reused" };
    }

    private start(key: string, fingerprint: string): KeyDecision {
        if (this.size >= this.options.maximumKeys) {
            return { kind: "full" };
        }
        const entry: Entry = { fingerprint, state: { kind: "running" }, endedAtMs: 0 };
        this.running.set(key, entry);
        const end = (state: EntryState | undefined) => {
            if (this.running.get(key) === entry) {
                this.running.delete(key);
                this.storeOutcome(key, entry, state);
            }
        };
        const attempt: KeyAttempt = {
            complete: answer => end(answer ? { kind: "answered", answer } : { kind: "unknown" }),
            release: () => end(undefined),
            markUnknown: () => end({ kind: "unknown" }),
        };
        return { kind: "run", attempt };
    }

    private storeOutcome(key: string, entry: Entry, state: EntryState | undefined): void {
        if (!state) {
            return;
        }
        entry.state = state;
        entry.endedAtMs = this.clock.nowMs();
        this.ended.set(key, entry);
        if (state.kind === "answered") {
            this.answered.add(entry);
            this.answerBytes += sizeOf(state.answer);
            this.dropOldestAnswers();
        }
    }

    private dropOldestAnswers(): void {
        for (const entry of this.answered) {
            if (this.answerBytes <= this.options.maximumResponseBytes) {
                return;
            }
            this.dropAnswer(entry);
        }
    }

    private dropAnswer(entry: Entry): void {
        if (entry.state.kind === "answered") {
            this.answered.delete(entry);
            this.answerBytes -= sizeOf(entry.state.answer);
            entry.state = { kind: "unknown" };
        }
    }

    private dropExpired(): void {
        const oldestMs = this.clock.nowMs() - this.options.retentionMs;
        for (const [key, entry] of this.ended) {
            if (entry.endedAtMs > oldestMs) {
                return;
            }
            this.dropAnswer(entry);
            this.ended.delete(key);
        }
    }
}

function sizeOf(answer: StoredResponse): number {
    return answer.content.length + JSON.stringify(answer.headers).length;
}
