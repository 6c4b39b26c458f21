/**
 * Remembers requests by their idempotency key, so that each runs at most once.
 */
import type { Clock } from "./clock.js";

/** Answer that is kept to be given again. */
export interface StoredAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[]>>;
    readonly content: Buffer;
}

/** The one attempt that may run the request of a key; exactly one of its methods has to be called. */
export interface KeyAttempt {
    /** The request ran; its answer is kept when given. */
    complete(answer: StoredAnswer | undefined): void;
    /** The request certainly did not run: the key may be used again. */
    release(): void;
    /** Whether the request ran is not known. */
    markUnknown(): void;
}

/** What becomes of a request with a key. */
export type KeyDecision =
    | { readonly kind: "run"; readonly attempt: KeyAttempt; }
    | { readonly kind: "running"; }
    | { readonly kind: "answered"; readonly answer: StoredAnswer; }
    /** An earlier request with the key ran or may have run, and its answer is not kept. */
    | { readonly kind: "unknown"; }
    /** The key came with another request before. */
    | { readonly kind: "reused"; }
    /** No room for another key. */
    | { readonly kind: "full"; };

/** Bounds of the table. */
export interface IdempotencyTableOptions {
    /** Milliseconds for which a key is remembered after its request has ended. */
    readonly retentionMs: number;
    readonly maximumKeys: number;
    /** Bytes of answers that are kept; the oldest answers are dropped first, their keys stay. */
    readonly maximumAnswerBytes: number;
}

type EntryState =
    | { readonly kind: "running"; }
    | { readonly kind: "answered"; readonly answer: StoredAnswer; }
    | { readonly kind: "unknown"; };

interface Entry {
    readonly fingerprint: string;
    state: EntryState;
    endedAtMs: number;
}

/** Keys of requests that this process authorised. */
export class IdempotencyTable {
    private readonly running = new Map<string, Entry>();
    /** Ended entries from the oldest to the newest. */
    private readonly ended = new Map<string, Entry>();
    private readonly answered = new Set<Entry>();
    private answerBytes = 0;

    private constructor(private readonly clock: Clock, private readonly options: IdempotencyTableOptions) {}

    static create(clock: Clock, options: IdempotencyTableOptions): IdempotencyTable {
        return new IdempotencyTable(clock, options);
    }

    /** Keys that are remembered now. */
    get size(): number {
        return this.running.size + this.ended.size;
    }

    /** Decides what becomes of a request; the fingerprint tells requests apart that use one key. */
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
                this.keep(key, entry, state);
            }
        };
        const attempt: KeyAttempt = {
            complete: answer => end(answer ? { kind: "answered", answer } : { kind: "unknown" }),
            release: () => end(undefined),
            markUnknown: () => end({ kind: "unknown" }),
        };
        return { kind: "run", attempt };
    }

    private keep(key: string, entry: Entry, state: EntryState | undefined): void {
        if (!state) {
            return;
        }
        entry.state = state;
        entry.endedAtMs = this.clock.nowMs();
        this.ended.set(key, entry);
        if (state.kind === "answered") {
            this.answered.add(entry);
            this.answerBytes += sizeOf(state.answer);
            this.dropAnswers();
        }
    }

    private dropAnswers(): void {
        for (const entry of this.answered) {
            if (this.answerBytes <= this.options.maximumAnswerBytes) {
                return;
            }
            this.forgetAnswer(entry);
        }
    }

    private forgetAnswer(entry: Entry): void {
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
            this.forgetAnswer(entry);
            this.ended.delete(key);
        }
    }
}

function sizeOf(answer: StoredAnswer): number {
    return answer.content.length + JSON.stringify(answer.headers).length;
}
