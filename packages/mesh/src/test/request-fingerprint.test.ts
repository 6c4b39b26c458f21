import assert from "node:assert/strict";
import { test } from "node:test";
import type { RequestContent } from "../request/relayed-request.js";
import { fingerprintOf } from "../request/request-fingerprint.js";
import { createContent } from "./example-values.js";
import { headerNames } from "./server-rig.js";

const LARGE_BYTES = 5_000_000;
const headers = ["Host", "catalogue.example", "X-Organisation", "archive", "X-Caller", "items"];
const request = createContent({ id: "1", method: "PUT", target: "/a?b=1", headers, body: Buffer.from("body") });

function fingerprint(changes: Partial<RequestContent>): string {
    return fingerprintOf({ ...request, ...changes }, headerNames);
}

test("copies of a request have one fingerprint, whatever differs from attempt to attempt and from host to host", () => {
    const same = fingerprint({});
    const changedHeaders = [
        "X-Attempt",
        "2",
        "host",
        "catalogue.example",
        "x-organisation",
        "archive",
        "X-Caller",
        "b",
    ];
    assert.equal(fingerprint({ id: "2", priority: 5, headers: changedHeaders, routeName: "renamed" }), same);
    assert.equal(fingerprint({ body: Buffer.from("body") }), same);
});

test("requests that differ in organisation, method, host, target or body have different fingerprints", () => {
    const large = Buffer.alloc(LARGE_BYTES);
    const largeWithOtherEnd = Buffer.alloc(LARGE_BYTES);
    largeWithOtherEnd[LARGE_BYTES - 1] = 1;
    const fingerprints = [
        fingerprint({}),
        fingerprint({ headers: ["Host", "catalogue.example", "X-Organisation", "mission"] }),
        fingerprint({ headers: ["Host", "catalogue.example"] }),
        fingerprint({ headers: ["Host", "other.example", "X-Organisation", "archive"] }),
        fingerprint({ method: "POST" }),
        fingerprint({ target: "/a?b=2" }),
        fingerprint({ body: undefined }),
        fingerprint({ body: large }),
        fingerprint({ body: largeWithOtherEnd }),
    ];
    assert.equal(new Set(fingerprints).size, fingerprints.length);
});

test("copies without an organisation have one fingerprint, whichever service sends them", () => {
    const headersFrom = (service: string) => ["Host", "catalogue.example", "X-Caller", service];
    for (const isOnwardCall of [true, false]) {
        const first = fingerprint({ isOnwardCall, headers: headersFrom("items") });
        assert.equal(fingerprint({ isOnwardCall, headers: headersFrom("accessions") }), first);
    }
});

test("copies whose host is spelled differently have one fingerprint", () => {
    const spelled = ["Host", "Catalogue.EXAMPLE", "X-Organisation", "archive"];
    assert.equal(fingerprint({ headers: spelled }), fingerprint({}));
});
