/**
 * Requests that no node may pass on, and the refusal that each has to get.
 */

/** First lines of requests that a caller with a key sends. */
export interface RequestHeads {
    readonly read: string;
    readonly book: string;
}

/** Bytes that a hostile caller sends, with the number of the refusal; its status is 400 unless another is given. */
export interface MalformedRequest {
    readonly what: string;
    readonly text: string;
    readonly code: number;
    readonly status?: number;
}

/** Requests that carry a key, as far as the end of its header. */
export function createRequestHeads(key: string): RequestHeads {
    const head = createHead(key);
    return {
        read: `GET /catalogue/read/hostile HTTP/1.1\r\n${head}`,
        book: `POST /catalogue/book/hostile HTTP/1.1\r\n${head}`,
    };
}

/** All malformed requests of a caller with a key. */
export function createMalformedRequests(key: string): MalformedRequest[] {
    const head = createHead(key);
    const { read, book } = createRequestHeads(key);
    return [
        {
            what: "length and chunks",
            text: `${book}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
            code: 1001,
        },
        { what: "two lengths", text: `${book}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd`, code: 1001 },
        { what: "two equal lengths", text: `${book}Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc`, code: 1001 },
        { what: "a list of lengths", text: `${book}Content-Length: 3, 3\r\n\r\nabc`, code: 1001 },
        { what: "a signed length", text: `${book}Content-Length: +3\r\n\r\nabc`, code: 1001 },
        {
            what: "two codings",
            text: `${book}Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n`,
            code: 1001,
        },
        { what: "an unknown coding", text: `${book}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n`, code: 1001 },
        { what: "a blank before the colon", text: `${book}Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n`, code: 1001 },
        { what: "a damaged chunk", text: `${book}Transfer-Encoding: chunked\r\n\r\nzz\r\n`, code: 1001 },
        { what: "a folded header", text: `${read}X-A: 1\r\n  folded\r\n\r\n`, code: 1001 },
        { what: "a bare line feed", text: `${read}X-A: 1\nX-B: 1\r\n\r\n`, code: 1001 },
        { what: "a bare carriage return", text: `${read}X-A: 1\rX-B: 1\r\n\r\n`, code: 1001 },
        { what: "a NUL in a header", text: `${read}X-A: a\0b\r\n\r\n`, code: 1001 },
        { what: "two hosts", text: `${read}Host: b\r\n\r\n`, code: 1001 },
        { what: "no host", text: `GET /catalogue/open/1 HTTP/1.1\r\n\r\n`, code: 1001 },
        { what: "two keys", text: `${read}Authorization: Bearer ${key}\r\n\r\n`, code: 1001 },
        { what: "a tunnel", text: `CONNECT items:80 HTTP/1.1\r\nHost: a\r\n\r\n`, code: 1001 },
        { what: "another protocol", text: "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", code: 1001 },
        { what: "no HTTP", text: "\x16\x03\x01\x02\x00\x01", code: 1001 },
        { what: "large headers", text: `${read}X-A: ${"a".repeat(20_000)}\r\n\r\n`, code: 1015, status: 431 },
        { what: "dot segments", text: `GET /catalogue/open/../book/1 HTTP/1.1\r\n${head}\r\n`, code: 1001 },
        { what: "encoded dot segments", text: `GET /catalogue/open/%2e%2E/book/1 HTTP/1.1\r\n${head}\r\n`, code: 1001 },
        { what: "an encoded slash", text: `GET /catalogue/open/..%2fbook/1 HTTP/1.1\r\n${head}\r\n`, code: 1001 },
        { what: "a target with a host", text: `GET http://a/catalogue/open/1 HTTP/1.1\r\n${head}\r\n`, code: 1001 },
        { what: "a key in the query", text: `GET /catalogue/read/1?k=${key} HTTP/1.1\r\n${head}\r\n`, code: 1001 },
        {
            what: "an encoded key in the path",
            text: `GET /catalogue/read/${key.replace("_", "%5f")} HTTP/1.1\r\n${head}\r\n`,
            code: 1001,
        },
        { what: "a forged handle", text: `${read}Radishrouter-Handle: x\r\n\r\n`, code: 1008 },
        { what: "a forged organisation", text: `${read}RADISHROUTER_ORGANISATION: mission\r\n\r\n`, code: 1008 },
        {
            what: "a body that is too large",
            text: `${book}Content-Length: 5000\r\n\r\n${"a".repeat(5000)}`,
            code: 1006,
            status: 413,
        },
        {
            what: "a key of another scheme",
            text: `GET /catalogue/read/1 HTTP/1.1\r\nHost: a\r\nAuthorization: Basic ${key}\r\n\r\n`,
            code: 1002,
            status: 401,
        },
        { what: "the operators' listener", text: `GET /report HTTP/1.1\r\n${head}\r\n`, code: 1004, status: 404 },
        {
            what: "the control stream",
            text: `POST /radishrouter.v1.ControlService/Exchange HTTP/1.1\r\n${head}Content-Length: 0\r\n\r\n`,
            code: 1004,
            status: 404,
        },
        {
            what: "an unknown method",
            text: `PROPFIND /catalogue/read/1 HTTP/1.1\r\n${head}\r\n`,
            code: 1004,
            status: 404,
        },
    ];
}

function createHead(key: string): string {
    return `Host: a\r\nAuthorization: Bearer ${key}\r\n`;
}
