/**
 * A node's replica of one published document; its version never decreases.
 */
import type { CheckedDocument, DocumentFormat } from "../version/document-format.js";
import type { DocumentChange, DocumentRecord } from "../version/published-document.js";
import { PublishedDocument } from "../version/published-document.js";

/** Outcome of offering a document or a change to a replica. */
export type OfferOutcome =
    | "adopted"
    | "not-newer"
    /** Refused: the active version has the same number and different content. */
    | "conflict"
    /** Refused: the document is not valid, or does not have the hash that was sent with it. */
    | "invalid"
    /** The change applies to a version or content other than the active one. */
    | "base-differs";

/** Format and callbacks of a replica. */
export interface DocumentReplicaOptions<Content> {
    readonly format: DocumentFormat<Content>;
    /** Called when a version has become active, before peers are sent it. */
    readonly onAdopted: (content: Content, source: string) => void;
    /** Called when a document was refused, with its source and the reason; a repeated reason is reported once. */
    readonly onRefused: (source: string, problem: string) => void;
}

const MAXIMUM_RECENT_CHANGES = 32;
const MAXIMUM_RECORDS_PER_CHANGE = 2_000;

/** Holds the active version and the recent changes that led to it. */
export class DocumentReplica<Content = unknown> {
    private document = PublishedDocument.empty();
    private content: Content | undefined;
    private recentChanges: DocumentChange[] = [];
    private lastReportedProblem = "";

    private constructor(private readonly options: DocumentReplicaOptions<Content>) {}

    static create<Content>(options: DocumentReplicaOptions<Content>): DocumentReplica<Content> {
        return new DocumentReplica(options);
    }

    get kind(): DocumentFormat<Content>["kind"] {
        return this.options.format.kind;
    }

    /** Active version; 0 before the first one. */
    get version(): number {
        return this.document.version;
    }

    /** Hash of the active version. */
    get hash(): Buffer {
        return this.document.hash;
    }

    /** Offers a complete document in the form in which the platform stores it. */
    offerDocument(value: unknown, source: string): OfferOutcome {
        const checked = this.options.format.check(value);
        if (checked.kind === "invalid") {
            return this.refuse("invalid", source, checked.problem);
        }
        const next = PublishedDocument.create(checked.version, this.options.format.toRecords(value));
        return this.adopt(next, checked, source);
    }

    /** Offers a change that another node sent; a change from version 0 is a complete document. */
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
        const next = base.withChanges(change.version, change.records);
        if (!next.hash.equals(change.hash)) {
            // A base with the same version and different content also leads to another hash, so the sender is asked for
            // the complete document before anything is refused.
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

    /** Change from a version to the active one; the complete document if the changes since then are not kept. */
    changeFrom(version: number): DocumentChange {
        const first = this.recentChanges.findIndex(change => change.fromVersion === version);
        if (version === 0 || first < 0) {
            return { fromVersion: 0, version: this.version, hash: this.hash, records: this.document.records() };
        }
        const latest = new Map<string, DocumentRecord>();
        for (const record of this.recentChanges.slice(first).flatMap(change => change.records)) {
            latest.set(`${record.section}/${record.name}`, record);
        }
        return { fromVersion: version, version: this.version, hash: this.hash, records: [...latest.values()] };
    }

    /** Compares the hash of a peer's replica of the same version; a different hash is reported as a conflict. */
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
        const { format } = this.options;
        try {
            if (changes && this.content !== undefined && format.checkChange) {
                return format.checkChange(this.content, document.version, changes);
            }
            return format.check(format.fromRecords(document.version, document.records()));
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
        this.recordChange(next, records ?? next.changesSince(this.document));
        this.document = next;
        this.content = checked.content;
        this.options.onAdopted(checked.content, source);
        return "adopted";
    }

    /** Reports the same problem once, since nodes and the platform offer the same document repeatedly. */
    private refuse(outcome: "conflict" | "invalid", source: string, problem: string): OfferOutcome {
        if (this.lastReportedProblem !== problem) {
            this.lastReportedProblem = problem;
            this.options.onRefused(source, problem);
        }
        return outcome;
    }

    private recordChange(next: PublishedDocument, records: readonly DocumentRecord[]): void {
        if (this.version === 0 || records.length > MAXIMUM_RECORDS_PER_CHANGE) {
            this.recentChanges = [];
            return;
        }
        this.recentChanges.push({ fromVersion: this.version, version: next.version, hash: next.hash, records });
        if (this.recentChanges.length > MAXIMUM_RECENT_CHANGES) {
            this.recentChanges.shift();
        }
    }
}
