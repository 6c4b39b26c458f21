import assert from "node:assert/strict";
import { test } from "node:test";
import { SharedRoutes } from "../version/shared-routes.js";
import { createRoute } from "./example-values.js";

function createConfiguration(...routes: { readonly name: string; readonly services: readonly string[]; }[]) {
    return {
        routes: routes.map(({ name, services }) =>
            createRoute({ name, destinations: services.map(service => ({ service, weight: 1 })) })
        ),
    };
}

test("services of one split are siblings, those of different routes are not", () => {
    const shared = SharedRoutes.create();
    shared.apply(createConfiguration({ name: "split", services: ["a", "b"] }, { name: "other", services: ["c"] }));
    assert.deepEqual(shared.siblingsOf("a"), ["b"]);
    assert.deepEqual(shared.siblingsOf("c"), []);
});

test("a service to which a route moves is a sibling of the one before, until the route is dropped", () => {
    const shared = SharedRoutes.create();
    shared.apply(createConfiguration({ name: "moved", services: ["a"] }));
    shared.apply(createConfiguration({ name: "moved", services: ["b"] }));
    assert.deepEqual(shared.siblingsOf("b"), ["a"]);
    shared.apply(createConfiguration());
    assert.deepEqual(shared.siblingsOf("b"), []);
});
