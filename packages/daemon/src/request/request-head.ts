/**
 * Checks of the request line and headers of a caller's request, in addition to those of the HTTP parser.
 */
import { parseRequestTarget, RequestError } from "@radishrouter/core";
import type { IncomingMessage } from "node:http";
import { containsAccessKey } from "./access-key-detection.js";
import { INTERNAL_HEADER_PREFIX } from "./header-names.js";

/** Headers that are ambiguous when they are sent more than once. */
const singleHeaders = ["host", "authorization", "content-length", "transfer-encoding", "content-type"];
const bearerPattern = /^bearer +([^\s,]+) *$/i;

/**
 * Checks that a request is unambiguous, so that every server interprets it alike, that it contains no header that only
 * nodes may send, and that its target contains no access key.
 *
 * @throws RequestError when the request fails a check.
 */
export function checkRequestHead(request: IncomingMessage): void {
    requireNoInternalHeaders(request);
    for (const name of singleHeaders) {
        if (readHeaderValues(request, name).length > 1) {
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
 * Reads the access key of a caller; undefined when no bearer key was sent.
 *
 * @throws RequestError when the authorization header is sent more than once.
 */
export function readKey(request: IncomingMessage): string | undefined {
    const values = readHeaderValues(request, "authorization");
    if (values.length > 1) {
        throw malformed("authorization: send this header once");
    }
    return bearerPattern.exec(values[0] ?? "")?.[1];
}

/**
 * All values of a header, whose name is in lower case. They are read from the raw headers, because the object that Node
 * makes of repeated headers throws for names such as `__proto__` and `constructor`.
 */
function readHeaderValues({ rawHeaders }: IncomingMessage, name: string): string[] {
    const values: string[] = [];
    for (let index = 0; index < rawHeaders.length; index += 2) {
        if (rawHeaders[index]!.toLowerCase() === name) {
            values.push(rawHeaders[index + 1]!);
        }
    }
    return values;
}

function requireNoInternalHeaders(request: IncomingMessage): void {
    const internalName = Object.keys(request.headers)
        .find(name => name.replaceAll("_", "-").startsWith(INTERNAL_HEADER_PREFIX));
    if (internalName !== undefined) {
        throw RequestError.create("internal-header", { detail: `${internalName}: only nodes may send this header` });
    }
}

function malformed(detail: string): RequestError {
    return RequestError.create("malformed-request", { detail });
}
