/**
 * Checks of the head of a caller's request, beyond what the HTTP parser refuses.
 */
import { parseRequestTarget, RequestError } from "@radishrouter/core";
import type { IncomingMessage } from "node:http";
import { INTERNAL_HEADER_PREFIX } from "./header-names.js";
import { containsAccessKey } from "./key-redaction.js";

/** Headers that have one meaning only when they come once. */
const singleHeaders = ["host", "authorization", "content-length", "transfer-encoding", "content-type"];
const bearerPattern = /^bearer +([^\s,]+) *$/i;

/**
 * Refuses what different servers could read differently, and what only nodes may send.
 *
 * @throws RequestError when the head is refused.
 */
export function checkRequestHead(request: IncomingMessage): void {
    refuseInternalHeaders(request);
    for (const name of singleHeaders) {
        if ((request.headersDistinct[name]?.length ?? 0) > 1) {
            throw malformed(`${name}: send this header once`);
        }
    }
    if (request.httpVersion === "1.1" && request.headers.host === undefined) {
        throw malformed("host: send this header");
    }
    const encoding = request.headers["transfer-encoding"];
    if (encoding !== undefined && encoding.toLowerCase() !== "chunked") {
        throw malformed("transfer-encoding: only chunked is understood");
    }
    const target = parseRequestTarget(request.url ?? "");
    if (target.kind === "invalid") {
        throw malformed(`request target: ${target.reason}`);
    }
    if (containsAccessKey(request.url ?? "")) {
        throw malformed("request target: it holds a key; send keys in the authorization header only");
    }
}

/**
 * Reads the key of a caller; undefined when none was sent.
 *
 * @throws RequestError when the header comes more than once.
 */
export function readKey(request: IncomingMessage): string | undefined {
    const values = request.headersDistinct["authorization"] ?? [];
    if (values.length > 1) {
        throw malformed("authorization: send this header once");
    }
    return bearerPattern.exec(values[0] ?? "")?.[1];
}

function refuseInternalHeaders(request: IncomingMessage): void {
    const forged = Object.keys(request.headers)
        .find(name => name.replaceAll("_", "-").startsWith(INTERNAL_HEADER_PREFIX));
    if (forged !== undefined) {
        throw RequestError.create("internal-header", { detail: `${forged}: only nodes may send this header` });
    }
}

function malformed(detail: string): RequestError {
    return RequestError.create("malformed-request", { detail });
}
