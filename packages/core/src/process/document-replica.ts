/**
 * The copy of one published document that a node has in force; it only ever moves to a higher version.
 */
import type { CheckedDocument, DocumentFormat } from "../version/document-format.js";
import type { DocumentChange, DocumentRecord } from "../version/published-document.js";
import { PublishedDocument } from "../version/published-document.js";

/** What became of a document that was offered. */
export type OfferOutcome =
    | "adopted"
    | "not-newer"
    /** Refused: the version in force has the same number and other content. */
    | "conflict"
    /** Refused: not a valid document, or not the one that its hash promises. */
    | "invalid"
    /** The change builds on another version than the one in force. */
    | "base-differs";

/** Callbacks and the kind of a replica. */
export interface DocumentReplicaOptions<Content> {
    readonly format: DocumentFormat<Content>;
    /** Called when a version has come into force, before anything else learns of it. */
    readonly onAdopted: (content: Content, source: string) => void;
    /** Called when a document was refused, with the reason. */
    readonly onRefused: (source: string, problem: string) => void;
}

const MAXIMUM_LOGGED_CHANGES = 32;
const MAXIMUM_LOGGED_RECORDS = 2_000;

/** Holds the version in force and the changes that led to it. */
export class DocumentReplica<Content = unknown> {
    private document = PublishedDocument.empty();
    private content: Content | undefined;
    private changes: DocumentChange[] = [];
    private lastProblem = "";

    private constructor(private readonly options: DocumentReplicaOptions<Content>) {}

    static create<Content>(options: DocumentReplicaOptions<Content>): DocumentReplica<Content> {
        return new DocumentReplica(options);
    }

    get kind(): DocumentFormat<Content>["kind"] {
        return this.options.format.kind;
    }

    /** Version in force; 0 before the first. */
    get version(): number {
        return this.document.version;
    }

    /** Hash of the version in force. */
    get hash(): Buffer {
        return this.document.hash;
    }

    /** Offers a whole document as the platform holds it. */
    offerDocument(value: unknown, source: string): OfferOutcome {
        const checked = this.options.format.check(value);
        if (checked.kind === "invalid") {
            return this.refuse("invalid", source, checked.problem);
        }
        const next = PublishedDocument.create(checked.version, this.options.format.split(value));
        return this.adopt(next, checked, source);
    }

    /** Offers a change that another node sent. */
    offerChange(change: DocumentChange, source: string): OfferOutcome {
        if (change.version < this.version) {
            return "not-newer";
        }
        if (change.version === this.version) {
            return this.compareHash(change.hash, source);
        }
        if (change.fromVersion !== 0 && change.fromVersion !== this.version) {
            return "base-differs";
        }
        const base = change.fromVersion === 0 ? PublishedDocument.empty() : this.document;
        const next = base.with(change.version, change.records);
        if (!next.hash.equals(change.hash)) {
            // A base of the same number but other content leads to another hash, too; the whole document decides.
            return change.fromVersion === 0 ?
                this.refuse(
                    "invalid",
                    source,
                    `version ${change.version} does not have the hash that it was sent with`,
                ) :
                "base-differs";
        }
        const isWhole = change.fromVersion === 0;
        const records = isWhole ? undefined : change.records;
        return this.adopt(next, this.checkRecords(next, records), source, records);
    }

    /** What a node that has a version needs for the one in force; the whole document if the changes are not known. */
    changeFrom(version: number): DocumentChange {
        const first = this.changes.findIndex(change => change.fromVersion === version);
        if (version === 0 || first < 0) {
            return { fromVersion: 0, version: this.version, hash: this.hash, records: this.document.records() };
        }
        const latest = new Map<string, DocumentRecord>();
        for (const record of this.changes.slice(first).flatMap(change => change.records)) {
            latest.set(`${record.section}/${record.name}`, record);
        }
        return { fromVersion: version, version: this.version, hash: this.hash, records: [...latest.values()] };
    }

    /** Compares the hash of another copy of the version in force; a different one is reported as a conflict. */
    compareHash(hash: Uint8Array, source: string): OfferOutcome {
        if (this.hash.equals(hash)) {
            return "not-newer";
        }
        return this.refuse("conflict", source, `version ${this.version} was published before with other content`);
    }

    private checkRecords(
        document: PublishedDocument,
        changes: readonly DocumentRecord[] | undefined,
    ): CheckedDocument<Content> {
        const { format: shape } = this.options;
        try {
            if (changes && this.content !== undefined && shape.checkChange) {
                return shape.checkChange(this.content, document.version, changes);
            }
            return shape.check(shape.join(document.version, document.records()));
        }
        catch (error) {
            return { kind: "invalid", problem: String(error) };
        }
    }

    private adopt(
        next: PublishedDocument,
        checked: CheckedDocument<Content>,
        source: string,
        records?: readonly DocumentRecord[],
    ): OfferOutcome {
        if (checked.kind === "invalid") {
            return this.refuse("invalid", source, checked.problem);
        }
        if (next.version < this.version) {
            return "not-newer";
        }
        if (next.version === this.version) {
            return this.compareHash(next.hash, source);
        }
        this.log(next, records ?? next.changesSince(this.document));
        this.document = next;
        this.content = checked.content;
        this.options.onAdopted(checked.content, source);
        return "adopted";
    }

    /** Reports a problem once, since nodes and the platform repeat what they offer. */
    private refuse(outcome: "conflict" | "invalid", source: string, problem: string): OfferOutcome {
        if (this.lastProblem !== problem) {
            this.lastProblem = problem;
            this.options.onRefused(source, problem);
        }
        return outcome;
    }

    private log(next: PublishedDocument, records: readonly DocumentRecord[]): void {
        if (this.version === 0 || records.length > MAXIMUM_LOGGED_RECORDS) {
            this.changes = [];
            return;
        }
        this.changes.push({ fromVersion: this.version, version: next.version, hash: next.hash, records });
        if (this.changes.length > MAXIMUM_LOGGED_CHANGES) {
            this.changes.shift();
        }
    }
}
