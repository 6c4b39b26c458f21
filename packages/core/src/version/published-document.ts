/**
 * A published document as a set of records, so that a change is sent as the records that it affects.
 */
import { createHash } from "node:crypto";

/** One record of a document, such as an organisation; an empty `json` marks a removed record. */
export interface DocumentRecord {
    readonly section: string;
    readonly name: string;
    readonly json: string;
}

/** Records that change one version of a document into another; `fromVersion` 0 is the empty document. */
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

/** Adds the SHA-256 of a record to a hash by exclusive or; the same call again removes it. */
function toggleRecordHash(hash: Buffer, record: DocumentRecord): void {
    const digest = createHash("sha256").update(`${recordKey(record)}\n${record.json}`).digest();
    for (let index = 0; index < HASH_BYTES; index++) {
        hash[index]! ^= digest[index]!;
    }
}

/** One version of a document; its hash is updated incrementally, in time proportional to the changed records. */
export class PublishedDocument {
    private constructor(
        /** 0 for the empty document. */
        readonly version: number,
        private readonly recordsByKey: ReadonlyMap<string, DocumentRecord>,
        /** Hash of all records, independent of their order. */
        readonly hash: Buffer,
    ) {}

    /** The document before any version was adopted. */
    static empty(): PublishedDocument {
        return new PublishedDocument(0, new Map(), Buffer.alloc(HASH_BYTES));
    }

    static create(version: number, records: readonly DocumentRecord[]): PublishedDocument {
        return PublishedDocument.empty().withChanges(version, records);
    }

    /** All records. */
    records(): DocumentRecord[] {
        return [...this.recordsByKey.values()];
    }

    /** The document that results from replacing, adding and removing records. */
    withChanges(version: number, changes: readonly DocumentRecord[]): PublishedDocument {
        const recordsByKey = new Map(this.recordsByKey);
        const hash = Buffer.from(this.hash);
        for (const change of changes) {
            const key = recordKey(change);
            const old = recordsByKey.get(key);
            if (old) {
                toggleRecordHash(hash, old);
                recordsByKey.delete(key);
            }
            if (change.json !== "") {
                toggleRecordHash(hash, change);
                recordsByKey.set(key, change);
            }
        }
        return new PublishedDocument(version, recordsByKey, hash);
    }

    /** Records that differ from an earlier document. */
    changesSince(earlier: PublishedDocument): DocumentRecord[] {
        const changed = this.records().filter(record =>
            earlier.recordsByKey.get(recordKey(record))?.json !== record.json
        );
        const removed = earlier.records().filter(record => !this.recordsByKey.has(recordKey(record)));
        return [...changed, ...removed.map(record => ({ ...record, json: "" }))];
    }
}
