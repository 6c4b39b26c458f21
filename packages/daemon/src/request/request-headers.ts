/**
 * Selects the headers of requests and responses that may be forwarded.
 */
import type { IncomingHttpHeaders } from "node:http";
import { containsAccessKey } from "./access-key-detection.js";
import { DEADLINE_HEADER, INTERNAL_HEADER_PREFIX, isHopByHop } from "./header-names.js";

/** Headers that are forwarded, by lower-case name. */
export type HeaderMap = Record<string, string | string[]>;

const credentialHeaders = new Set(["authorization", "proxy-authorization"]);

/**
 * Copies the headers of a request that may be forwarded to a backend server or another node.
 *
 * Omits credentials, every other header that contains an access key in plain or encoded form, the deadline header,
 * internal headers and headers that apply to a single connection.
 */
export function filterRequestHeaders(headers: IncomingHttpHeaders, key: string | undefined): HeaderMap {
    const connectionHeaders = new Set(
        String(headers.connection ?? "").toLowerCase().split(",").map(name => name.trim()),
    );
    const filtered: HeaderMap = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value === undefined || isHopByHop(name) || connectionHeaders.has(name) || credentialHeaders.has(name)) {
            continue;
        }
        if (name === DEADLINE_HEADER || name.startsWith(INTERNAL_HEADER_PREFIX)) {
            continue;
        }
        if ([name, value].flat().some(text => containsAccessKey(text, key))) {
            continue;
        }
        filtered[name] = value;
    }
    return filtered;
}

/**
 * Copies the headers of a response that may be passed back. Omits internal headers and headers that apply to a single
 * connection.
 */
export function filterResponseHeaders(headers: IncomingHttpHeaders): HeaderMap {
    const filtered: HeaderMap = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !isHopByHop(name) && !name.startsWith(INTERNAL_HEADER_PREFIX)) {
            filtered[name] = value;
        }
    }
    return filtered;
}
