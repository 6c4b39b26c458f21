/**
 * Malformed and disallowed requests that no node may forward, each with the result code of its refusal.
 */

/** Request lines and first headers of requests with an access key; further headers can be appended. */
export interface RequestHeads {
    readonly read: string;
    readonly book: string;
}

/** Bytes that a hostile caller sends, and the result code of the refusal; the expected status is 400 when absent. */
export interface MalformedRequest {
    readonly description: string;
    readonly text: string;
    readonly code: number;
    readonly status?: number;
}

/** Creates the heads of requests up to and including the header with the access key. */
export function createRequestHeads(key: string): RequestHeads {
    const headers = createHeaders(key);
    return {
        read: `GET /catalogue/read/hostile HTTP/1.1\r\n${headers}`,
        book: `POST /catalogue/book/hostile HTTP/1.1\r\n${headers}`,
    };
}

/** Creates all malformed requests of a caller with an access key. */
export function createMalformedRequests(key: string): MalformedRequest[] {
    const headers = createHeaders(key);
    const { read, book } = createRequestHeads(key);
    return [
        {
            description: "Content-Length together with chunked encoding",
            text: `${book}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
            code: 1001,
        },
        {
            description: "two different Content-Length headers",
            text: `${book}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd`,
            code: 1001,
        },
        {
            description: "two equal Content-Length headers",
            text: `${book}Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc`,
            code: 1001,
        },
        {
            description: "a list of values in Content-Length",
            text: `${book}Content-Length: 3, 3\r\n\r\nabc`,
            code: 1001,
        },
        { description: "a signed Content-Length", text: `${book}Content-Length: +3\r\n\r\nabc`, code: 1001 },
        {
            description: "two transfer codings",
            text: `${book}Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n`,
            code: 1001,
        },
        {
            description: "an unknown transfer coding",
            text: `${book}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n`,
            code: 1001,
        },
        {
            description: "a space before the colon of a header",
            text: `${book}Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n`,
            code: 1001,
        },
        { description: "an invalid chunk size", text: `${book}Transfer-Encoding: chunked\r\n\r\nzz\r\n`, code: 1001 },
        { description: "a folded header line", text: `${read}X-A: 1\r\n  folded\r\n\r\n`, code: 1001 },
        { description: "a bare line feed", text: `${read}X-A: 1\nX-B: 1\r\n\r\n`, code: 1001 },
        { description: "a bare carriage return", text: `${read}X-A: 1\rX-B: 1\r\n\r\n`, code: 1001 },
        { description: "a NUL in a header", text: `${read}X-A: a\0b\r\n\r\n`, code: 1001 },
        { description: "two Host headers", text: `${read}Host: b\r\n\r\n`, code: 1001 },
        { description: "no Host header", text: `GET /catalogue/open/1 HTTP/1.1\r\n\r\n`, code: 1001 },
        { description: "two access keys", text: `${read}Authorization: Bearer ${key}\r\n\r\n`, code: 1001 },
        { description: "a CONNECT tunnel", text: `CONNECT items:80 HTTP/1.1\r\nHost: a\r\n\r\n`, code: 1001 },
        { description: "the HTTP/2 connection preface", text: "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", code: 1001 },
        { description: "bytes that are not HTTP", text: "\x16\x03\x01\x02\x00\x01", code: 1001 },
        {
            description: "headers that are too large",
            text: `${read}X-A: ${"a".repeat(20_000)}\r\n\r\n`,
            code: 1015,
            status: 431,
        },
        {
            description: "dot segments in the path",
            text: `GET /catalogue/open/../book/1 HTTP/1.1\r\n${headers}\r\n`,
            code: 1001,
        },
        {
            description: "encoded dot segments in the path",
            text: `GET /catalogue/open/%2e%2E/book/1 HTTP/1.1\r\n${headers}\r\n`,
            code: 1001,
        },
        {
            description: "an encoded slash in the path",
            text: `GET /catalogue/open/..%2fbook/1 HTTP/1.1\r\n${headers}\r\n`,
            code: 1001,
        },
        {
            description: "an absolute URL as request target",
            text: `GET http://a/catalogue/open/1 HTTP/1.1\r\n${headers}\r\n`,
            code: 1001,
        },
        {
            description: "an access key in the query",
            text: `GET /catalogue/read/1?k=${key} HTTP/1.1\r\n${headers}\r\n`,
            code: 1001,
        },
        {
            description: "an encoded access key in the path",
            text: `GET /catalogue/read/${key.replace("_", "%5f")} HTTP/1.1\r\n${headers}\r\n`,
            code: 1001,
        },
        { description: "a forged handle", text: `${read}Radishrouter-Handle: x\r\n\r\n`, code: 1008 },
        { description: "a forged organisation", text: `${read}RADISHROUTER_ORGANISATION: mission\r\n\r\n`, code: 1008 },
        {
            description: "a body that is too large",
            text: `${book}Content-Length: 5000\r\n\r\n${"a".repeat(5000)}`,
            code: 1006,
            status: 413,
        },
        {
            description: "an access key with another authentication scheme",
            text: `GET /catalogue/read/1 HTTP/1.1\r\nHost: a\r\nAuthorization: Basic ${key}\r\n\r\n`,
            code: 1002,
            status: 401,
        },
        {
            description: "a path of the operators' listener",
            text: `GET /report HTTP/1.1\r\n${headers}\r\n`,
            code: 1004,
            status: 404,
        },
        {
            description: "the path of the control stream",
            text: `POST /radishrouter.v1.ControlService/Exchange HTTP/1.1\r\n${headers}Content-Length: 0\r\n\r\n`,
            code: 1004,
            status: 404,
        },
        {
            description: "an unknown method",
            text: `PROPFIND /catalogue/read/1 HTTP/1.1\r\n${headers}\r\n`,
            code: 1004,
            status: 404,
        },
    ];
}

function createHeaders(key: string): string {
    return `Host: a\r\nAuthorization: Bearer ${key}\r\n`;
}
