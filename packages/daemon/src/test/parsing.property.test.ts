import { createAccessKey, RequestError } from "@radishrouter/core";
import fc from "fast-check";
import assert from "node:assert/strict";
import { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import { describe, test } from "node:test";
import { settingsSchema } from "../process/settings.js";
import { containsAccessKey } from "../request/access-key-detection.js";
import { readForwardedHeaders } from "../request/forwarded-headers.js";
import { forwardHeaders } from "../request/header-names.js";
import { readDeadlineMs } from "../request/request-deadline.js";
import { checkRequestHead, readKey } from "../request/request-head.js";
import { filterRequestHeaders } from "../request/request-headers.js";

const seed = 20_612;
const { key } = createAccessKey();

/** Runs a parser. Returns undefined when it throws a RequestError, and fails the test on any other error. */
function parseOrRefuse<Value>(parse: () => Value): Value | undefined {
    try {
        return parse();
    }
    catch (error) {
        assert.ok(error instanceof RequestError, String(error));
        return undefined;
    }
}

const headerText = fc.oneof(
    fc.string(),
    fc.constantFrom("", "0", "-1", "1e9", "0x10", "Infinity", "NaN", "1.5", " 1", "1 ", "999999999999", "١"),
    fc.integer().map(String),
);

function createRequest(url: string, headers: readonly (readonly [string, string])[]): IncomingMessage {
    const request = new IncomingMessage(new Socket());
    request.url = url;
    request.httpVersion = "1.1";
    for (const [name, value] of headers) {
        request.headers[name.toLowerCase()] = value;
        request.rawHeaders.push(name, value);
    }
    return request;
}

describe("parsing of input from callers, peers and operators", () => {
    test("accepts deadlines only between 1 ms and the deadline of the route", () => {
        fc.assert(
            fc.property(fc.oneof(headerText, fc.array(headerText)), header => {
                const deadlineMs = parseOrRefuse(() => readDeadlineMs(header, 5_000));
                assert.ok(
                    deadlineMs === undefined ||
                        (Number.isInteger(deadlineMs) && deadlineMs >= 1 && deadlineMs <= 5_000),
                );
            }),
            { seed, numRuns: 5_000 },
        );
    });

    test("accepts the headers of a forwarded request only within their limits", () => {
        const text = fc.oneof(headerText, fc.constantFrom("archive", "critical", "(open)", "constructor"));
        const headers = fc.record({
            [forwardHeaders.organisation]: text,
            [forwardHeaders.importance]: text,
            [forwardHeaders.remainingMs]: text,
            [forwardHeaders.retries]: text,
        }, { requiredKeys: [] });
        fc.assert(
            fc.property(headers, sent => {
                const forwarded = parseOrRefuse(() => readForwardedHeaders(sent));
                if (forwarded) {
                    assert.ok(forwarded.retries >= 0 && forwarded.retries <= 16);
                    assert.ok(forwarded.remainingMs >= 0 && forwarded.remainingMs <= 600_000);
                    assert.ok(["critical", "normal", "background"].includes(forwarded.importance));
                }
            }),
            { seed, numRuns: 5_000 },
        );
        const good = {
            [forwardHeaders.organisation]: "archive",
            [forwardHeaders.importance]: "critical",
            [forwardHeaders.remainingMs]: "250",
            [forwardHeaders.retries]: "2",
        };
        const expected = { organisation: "archive", importance: "critical", remainingMs: 250, retries: 2 };
        assert.deepEqual(readForwardedHeaders(good), { ...expected, isRepeat: false });
        const repeat = { ...good, [forwardHeaders.repeat]: "1" };
        assert.deepEqual(readForwardedHeaders(repeat), { ...expected, isRepeat: true });
    });

    test("refuses request lines and headers only with a RequestError, and accepts no internal header", () => {
        const name = fc.oneof(
            fc.string({ minLength: 1 }),
            fc.constantFrom("Radishrouter-Handle", "radishrouter_organisation", "host", "authorization", "__proto__"),
        );
        const requests = fc.tuple(fc.string(), fc.array(fc.tuple(name, headerText)));
        fc.assert(
            fc.property(requests, ([url, headers]) => {
                const request = createRequest(url, headers);
                const isAccepted = parseOrRefuse(() => {
                    checkRequestHead(request);
                    readKey(request);
                    return true;
                });
                if (isAccepted) {
                    assert.ok(!headers.some(([name]) => /^radishrouter[-_]/i.test(name)));
                }
            }),
            { seed, numRuns: 5_000 },
        );
    });

    test("detects a key at any position and in any combination of percent-encoding, Base64 and upper case", () => {
        type Encode = (text: string) => string;
        const percent: Encode = text => [...text].map(character => `%${character.charCodeAt(0).toString(16)}`).join("");
        const base64: Encode = text => Buffer.from(text).toString("base64");
        const base64url: Encode = text => Buffer.from(text).toString("base64url");
        const upper: Encode = text => text.toUpperCase();
        const outerEncoders = fc.array(fc.constantFrom<Encode>(percent, upper), { maxLength: 2 });
        const keyEncoder = fc.constantFrom<Encode>(text => text, base64, base64url);
        const around = fc.constantFrom("", "Basic ", "token=", "%zz", "a b ", '"', "é");
        fc.assert(
            fc.property(outerEncoders, keyEncoder, around, around, (outer, encodeKey, before, after) => {
                const encoded = before + outer.reduce((text, encode) => encode(text), encodeKey(key)) + after;
                // Upper-casing a Base64 text destroys the key in it.
                const isKeyDestroyed = encodeKey(key) !== key && outer.includes(upper);
                if (!isKeyDestroyed) {
                    assert.ok(containsAccessKey(encoded, key), encoded);
                    assert.deepEqual(filterRequestHeaders({ "x-a": encoded, "x-b": "kept" }, key), { "x-b": "kept" });
                }
            }),
            { seed, numRuns: 2_000 },
        );
    });

    test("forwards headers without a key unchanged", () => {
        const ordinary = {
            "accept": "text/html,application/xhtml+xml;q=0.9",
            "cookie": "session=1f0c2f2e5d8a4a7f9d0b1c2d3e4f5a6b7c8d9e0f",
            "if-none-match": '"33a64df551425fcc55e4d42a148795d9f25f89d4"',
            "traceparent": "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        };
        assert.deepEqual(filterRequestHeaders(ordinary, key), ordinary);
    });

    test("accepts settings or reports only the invalid one, for any value of any setting", () => {
        const settings: Record<string, unknown> = {
            host: "items-1",
            address: "127.0.0.1",
            failureDomain: "khomas-a",
            region: "khomas",
            service: "items",
            seat: 0,
            ports: { callers: 1, forward: 2, control: 3, backend: 4, operators: 5 },
            backendServer: { address: "127.0.0.1", port: 6 },
            platform: { url: "http://127.0.0.1:7" },
            deploymentSecret: "0123456789abcdef",
        };
        assert.ok(settingsSchema.safeParse(settings).success);
        const names = fc.constantFrom(...Object.keys(settings), "limits", "statsd", "unknown");
        fc.assert(
            fc.property(names, fc.jsonValue(), (name, value) => {
                const parsed = settingsSchema.safeParse({ ...settings, [name]: value });
                if (!parsed.success) {
                    const named = parsed.error.issues.map(issue => String(issue.path[0] ?? issue.message));
                    assert.ok(named.every(text => text.includes(name)), named.join());
                }
            }),
            { seed, numRuns: 2_000 },
        );
    });
});
