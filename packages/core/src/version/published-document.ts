/**
 * A published document as a set of records, so that a change travels as the records that it touches.
 */
import { createHash } from "node:crypto";

/** One record of a document, such as an organisation; an empty JSON text stands for a removed record. */
export interface DocumentRecord {
    readonly section: string;
    readonly name: string;
    readonly json: string;
}

/** What changes one version of a document into another; a base of 0 stands for the empty document. */
export interface DocumentChange {
    readonly fromVersion: number;
    readonly version: number;
    /** Hash of the resulting document. */
    readonly hash: Uint8Array;
    readonly records: readonly DocumentRecord[];
}

const HASH_BYTES = 32;

function recordKey(record: DocumentRecord): string {
    return `${record.section}/${record.name}`;
}

/** Toggles a record in a hash; toggling the same record again undoes it. */
function toggle(hash: Buffer, record: DocumentRecord): void {
    const digest = createHash("sha256").update(`${recordKey(record)}\n${record.json}`).digest();
    for (let index = 0; index < HASH_BYTES; index++) {
        hash[index]! ^= digest[index]!;
    }
}

/** One version of a document; the hash costs as much as the records that changed. */
export class PublishedDocument {
    private constructor(
        /** Version; 0 for the empty document. */
        readonly version: number,
        private readonly byKey: ReadonlyMap<string, DocumentRecord>,
        /** Hash of all records, whatever their order. */
        readonly hash: Buffer,
    ) {}

    /** The document before any version was adopted. */
    static empty(): PublishedDocument {
        return new PublishedDocument(0, new Map(), Buffer.alloc(HASH_BYTES));
    }

    static create(version: number, records: readonly DocumentRecord[]): PublishedDocument {
        return PublishedDocument.empty().with(version, records);
    }

    /** All records. */
    records(): DocumentRecord[] {
        return [...this.byKey.values()];
    }

    /** The document that results from replacing, adding and removing records. */
    with(version: number, changes: readonly DocumentRecord[]): PublishedDocument {
        const byKey = new Map(this.byKey);
        const hash = Buffer.from(this.hash);
        for (const change of changes) {
            const key = recordKey(change);
            const old = byKey.get(key);
            if (old) {
                toggle(hash, old);
                byKey.delete(key);
            }
            if (change.json !== "") {
                toggle(hash, change);
                byKey.set(key, change);
            }
        }
        return new PublishedDocument(version, byKey, hash);
    }

    /** Records that differ from an earlier document. */
    changesSince(earlier: PublishedDocument): DocumentRecord[] {
        const changed = this.records().filter(record => earlier.byKey.get(recordKey(record))?.json !== record.json);
        const removed = earlier.records().filter(record => !this.byKey.has(recordKey(record)));
        return [...changed, ...removed.map(record => ({ ...record, json: "" }))];
    }
}
