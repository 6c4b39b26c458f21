import { hashAccessKey, ManualClock } from "@radishrouter/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ConfigurationLease, IndexedConfiguration, RouteTable, WeightedRoundRobin } from "../index.js";
import { createConfiguration, createOrganisation, createRoute } from "./example-values.js";

const LEASE_MS = 5_000;

test("a request matches the route with the longest prefix of its path", () => {
    const routes = RouteTable.create([
        createRoute({ name: "root", pathPrefix: "/" }),
        createRoute({ name: "search", pathPrefix: "/search/" }),
        createRoute({ name: "deep", pathPrefix: "/search/deep/" }),
    ]);
    const find = (target: string) => routes.find("Catalogue.example:80", target)?.name;
    assert.equal(find("/search/deep/x?y=/search/"), "deep");
    assert.equal(find("/search/deep"), "search");
    assert.equal(find("/searching"), "root");
    assert.equal(find("/?q=/search/deep/"), "root");
    assert.equal(routes.find("other.example", "/search/"), undefined);
});

test("a path without the route's prefix matches no route", () => {
    const routes = RouteTable.create([createRoute()]);
    assert.equal(routes.find("catalogue.example", "/search"), undefined);
    assert.equal(routes.find("catalogue.example", ""), undefined);
});

test("each destination gets its share in every sequence of 50 requests", () => {
    const split = WeightedRoundRobin.create();
    const route = createRoute({ destinations: [{ service: "a", weight: 90 }, { service: "b", weight: 10 }] });
    const chosen = Array.from({ length: 200 }, () => split.next(route));
    for (let start = 0; start + 50 <= chosen.length; start += 10) {
        const share = chosen.slice(start, start + 50).filter(service => service === "b").length;
        assert.ok(share >= 4 && share <= 6, `${share} of 50`);
    }
});

test("a destination with weight 0 gets no requests", () => {
    const split = WeightedRoundRobin.create();
    const route = createRoute({ destinations: [{ service: "a", weight: 0 }, { service: "b", weight: 5 }] });
    const chosen = new Set(Array.from({ length: 20 }, () => split.next(route)));
    assert.deepEqual([...chosen], ["b"]);
});

test("a key identifies its organisation only in versions that contain it", () => {
    const organisation = createOrganisation({ keyHashes: [hashAccessKey("secret")] });
    const holding = IndexedConfiguration.create(createConfiguration({ organisations: [organisation] }));
    const withdrawn = IndexedConfiguration.create(
        createConfiguration({ version: 2, organisations: [createOrganisation()] }),
    );
    assert.equal(holding.findOrganisationByKey("secret")?.name, "archive");
    assert.equal(withdrawn.findOrganisationByKey("secret"), undefined);
});

test("keys are looked up rightly however many callers try, each time they try", () => {
    const organisation = createOrganisation({ keyHashes: [hashAccessKey("secret")] });
    const version = IndexedConfiguration.create(createConfiguration({ organisations: [organisation] }));
    for (let attempt = 0; attempt < 5_000; attempt++) {
        assert.equal(version.findOrganisationByKey(`guess-${attempt % 3_000}`), undefined);
        assert.equal(version.findOrganisationByKey("secret"), organisation);
    }
});

test("the lease starts when the query was sent", () => {
    const clock = ManualClock.create();
    const lease = ConfigurationLease.create(clock, LEASE_MS, () => clock.nowMs());
    assert.equal(lease.isValid(), false);
    const sentAt = lease.now();
    clock.advance(3_000);
    lease.renew(sentAt);
    assert.equal(lease.isValid(), true);
    clock.advance(1_600);
    assert.equal(
        lease.isValid(),
        false,
        "4.6 s after the query, a request whose key is withdrawn could reach the server too late",
    );
});

test("the lease ends even when the monotonic clock stopped during a suspension of the host", () => {
    const clock = ManualClock.create();
    let wallMs = 1_000_000;
    const lease = ConfigurationLease.create(clock, LEASE_MS, () => wallMs);
    lease.renew(lease.now());
    wallMs += 6_000;
    assert.equal(lease.isValid(), false);
});

test("a response to an older query does not shorten the lease", () => {
    const clock = ManualClock.create();
    const lease = ConfigurationLease.create(clock, LEASE_MS, () => clock.nowMs());
    const older = lease.now();
    clock.advance(2_000);
    lease.renew(lease.now());
    lease.renew(older);
    clock.advance(4_000);
    assert.equal(lease.isValid(), true);
});
