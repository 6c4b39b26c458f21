import { AuditTrail } from "@radishrouter/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ConfigurationStore } from "../version/configuration-store.js";

function createDocument(version: number, organisations: Readonly<Record<string, unknown>>): unknown {
    return { version, shareCount: 4, failureDomains: { a: { region: "r", seats: 2 } }, organisations, services: {} };
}

test("an organisation with the name of a property that all objects have is added and removed like any other", () => {
    const audit = AuditTrail.create();
    const store = ConfigurationStore.create(audit);
    const limits = { rate: 10, burst: 10, keys: [] };
    assert.ok(store.offer(createDocument(1, { archive: limits }), "test"));
    assert.ok(store.offer(createDocument(2, { archive: limits, constructor: limits }), "test"));
    assert.ok(store.offer(createDocument(3, { archive: limits }), "test"));
    const changes = audit.since(0).map(({ change, subject }) => `${change} ${subject}`);
    assert.ok(changes.includes("organisation-added constructor"), changes.join("\n"));
    assert.ok(changes.includes("organisation-removed constructor"), changes.join("\n"));
});
