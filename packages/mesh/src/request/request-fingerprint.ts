/**
 * Identifies requests that do the same at a backend server, whoever sends them again.
 */
import { createHash } from "node:crypto";
import type { HeaderNames } from "./header-names.js";
import type { RequestContent } from "./relayed-request.js";

/** Characters of a fingerprint; 22 of base64 are 132 bits. */
const FINGERPRINT_LENGTH = 22;

/**
 * Fingerprint of a request: its organisation, method, host, target and whole body. Other headers differ between attempts,
 * and callers may send from any host, so these do not count; nor does the service that sends it, as downstream calls and
 * requests of callers without a key cannot be told apart.
 */
export function fingerprintOf({ method, target, headers, body }: RequestContent, headerNames: HeaderNames): string {
    const organisation = findHeader(headers, headerNames.organisation);
    const host = findHeader(headers, "host")?.toLowerCase();
    const hash = createHash("sha256");
    hash.update(JSON.stringify([organisation, method, host, target]));
    if (body) {
        hash.update(body);
    }
    return hash.digest("base64url").slice(0, FINGERPRINT_LENGTH);
}

function findHeader(fields: readonly string[], name: string): string | undefined {
    for (let index = 0; index < fields.length; index += 2) {
        if (fields[index]!.toLowerCase() === name) {
            return fields[index + 1];
        }
    }
    return undefined;
}
