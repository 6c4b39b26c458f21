/**
 * Which headers of a request reach a backend server or another node.
 */
import type { IncomingHttpHeaders } from "node:http";
import { DEADLINE_HEADER, INTERNAL_HEADER_PREFIX, isHopByHop } from "./header-names.js";
import { containsAccessKey } from "./key-redaction.js";

/** Headers as they are sent on. */
export type HeaderMap = Record<string, string | string[]>;

const credentialHeaders = new Set(["authorization", "proxy-authorization"]);

/**
 * Copies the headers that may be sent on.
 *
 * Leaves out credentials, every other header that holds a key in any spelling, internal headers and those of the connection.
 */
export function createOnwardHeaders(headers: IncomingHttpHeaders, key: string | undefined): HeaderMap {
    const named = new Set(String(headers.connection ?? "").toLowerCase().split(",").map(name => name.trim()));
    const onward: HeaderMap = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value === undefined || isHopByHop(name) || named.has(name) || credentialHeaders.has(name)) {
            continue;
        }
        if (name === DEADLINE_HEADER || name.startsWith(INTERNAL_HEADER_PREFIX)) {
            continue;
        }
        if ([name, value].flat().some(text => containsAccessKey(text, key))) {
            continue;
        }
        onward[name] = value;
    }
    return onward;
}

/** Copies the headers of an answer that may be sent back. */
export function createReturnHeaders(headers: IncomingHttpHeaders): HeaderMap {
    const returned: HeaderMap = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !isHopByHop(name) && !name.startsWith(INTERNAL_HEADER_PREFIX)) {
            returned[name] = value;
        }
    }
    return returned;
}
