/**
 * Which headers of a request reach a backend server or another node.
 */
import type { IncomingHttpHeaders } from "node:http";
import { DEADLINE_HEADER, INTERNAL_HEADER_PREFIX, isHopByHop } from "./header-names.js";

/** Headers as they are sent on. */
export type HeaderMap = Record<string, string | string[]>;

const credentialHeaders = new Set(["authorization", "proxy-authorization"]);

function decode(text: string): string {
    try {
        return decodeURIComponent(text);
    }
    catch {
        return text;
    }
}

/** Whether a text holds a key, also when it is percent-encoded. */
export function containsKey(text: string, key: string): boolean {
    return text.includes(key) || decode(text).includes(key);
}

/**
 * Copies the headers that may be sent on.
 *
 * Leaves out credentials, every other header that holds the key, internal headers and those of the connection.
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
        if (key !== undefined && [value].flat().some(text => containsKey(text, key))) {
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
