import assert from "node:assert/strict";
import { test } from "node:test";
import { configurationFormat } from "../version/document-format.js";

function createDocument(shareCount?: number): Record<string, unknown> {
    return {
        version: 3,
        organisations: {},
        services: {},
        failureDomains: { a: { region: "khomas", seats: 2 } },
        ...(shareCount === undefined ? {} : { shareCount }),
    };
}

test("records of a configuration hold all of it", () => {
    for (const document of [createDocument(), createDocument(8)]) {
        assert.deepEqual(configurationFormat.fromRecords(3, configurationFormat.toRecords(document)), document);
    }
});

test("configurations that differ only in their number of shares have different records", () => {
    assert.notDeepEqual(
        configurationFormat.toRecords(createDocument(8)),
        configurationFormat.toRecords(createDocument(9)),
    );
});
