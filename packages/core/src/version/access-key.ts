/**
 * Access keys of callers: creating, hashing and looking them up.
 */
import { createHash, hash, randomBytes, timingSafeEqual } from "node:crypto";
import type { Configuration, KeyRecord } from "./configuration.js";

const keyPattern = /^rr_([A-Za-z0-9]{8,32})_([A-Za-z0-9_-]{16,128})$/;
const ID_BYTES = 8;
const SECRET_BYTES = 24;

/** SHA-256 of a complete key, in hexadecimal. */
export function hashAccessKey(key: string): string {
    return hash("sha256", key);
}

/** Creates a key for a caller and the record that operators publish for it. */
export function createAccessKey(): { key: string; record: KeyRecord; } {
    const id = randomBytes(ID_BYTES).toString("hex");
    const key = `rr_${id}_${randomBytes(SECRET_BYTES).toString("base64url")}`;
    return { key, record: { id, hash: hashAccessKey(key) } };
}

/** Owner and hash of a published key. */
interface PublishedKey {
    readonly organisation: string;
    readonly hash: Buffer;
}

/** The organisation and the public id of a key that was recognised. */
export interface CallerIdentity {
    readonly organisation: string;
    readonly keyId: string;
}

/** All keys of one configuration version. */
export class AccessKeyIndex {
    private constructor(private readonly keysById: ReadonlyMap<string, PublishedKey>) {}

    static create(configuration: Configuration): AccessKeyIndex {
        const keysById = new Map<string, PublishedKey>();
        for (const [organisation, { keys }] of Object.entries(configuration.organisations)) {
            for (const { id, hash } of keys) {
                keysById.set(id, { organisation, hash: Buffer.from(hash, "hex") });
            }
        }
        return new AccessKeyIndex(keysById);
    }

    /** Finds the organisation that a key belongs to; undefined for an unknown, malformed or withdrawn key. */
    find(key: string): CallerIdentity | undefined {
        const keyId = keyPattern.exec(key)?.[1];
        const published = keyId === undefined ? undefined : this.keysById.get(keyId);
        if (keyId === undefined || published === undefined) {
            return undefined;
        }
        const presented = createHash("sha256").update(key).digest();
        return timingSafeEqual(presented, published.hash) ? { organisation: published.organisation, keyId } : undefined;
    }

    /** Whether a key that was recognised before is still published. */
    has(keyId: string): boolean {
        return this.keysById.has(keyId);
    }
}
