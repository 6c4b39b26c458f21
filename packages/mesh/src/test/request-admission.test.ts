import { hashAccessKey, ManualClock, RequestError } from "@radishrouter/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    ConfigurationLease,
    DownstreamThrottle,
    IndexedConfiguration,
    OrganisationQuota,
    ProcessOverloadGuard,
    RequestAdmission,
    TokenBroker,
    WeightedRoundRobin,
} from "../index.js";
import type { AdmittedRequest, MeshConfiguration } from "../index.js";
import { createConfiguration, createOrganisation, createRoute, toFleetHost } from "./example-values.js";

const HOST = "catalogue.example";
const ADDRESS = "10.0.0.1";
const LEASE_MS = 5_000;
const archive = createOrganisation({ keyHashes: [hashAccessKey("first-key")], ratePerSecond: 1, burst: 1 });

/** Creates an admission for a single host; without a configuration no version is active. */
function createAdmission(configuration: MeshConfiguration | undefined) {
    const clock = ManualClock.create();
    const lease = ConfigurationLease.create(clock, LEASE_MS, () => 0);
    lease.renew(lease.now());
    const quota = OrganisationQuota.create(clock, ADDRESS, () => [ADDRESS].map(toFleetHost), 1_000);
    quota.setOrganisations(configuration?.organisations ?? []);
    clock.advance(1_000);
    lease.renew(lease.now());
    const throttle = DownstreamThrottle.create(clock);
    const version = configuration && IndexedConfiguration.create(configuration);
    const admission = RequestAdmission.create({
        version: () => version,
        lease,
        broker: TokenBroker.create({
            clock,
            quota,
            localAddress: ADDRESS,
            isReachable: () => false,
            requestTokens: () => Promise.resolve(undefined),
        }),
        overloadGuard: ProcessOverloadGuard.create(clock),
        throttle,
        roundRobin: WeightedRoundRobin.create(),
    });
    const decide = async (path: string, key?: string): Promise<AdmittedRequest> =>
        await admission.admit(admission.authenticate(admission.findRoute(HOST, path), key));
    return { clock, throttle, decide };
}

/** Result name of the refusal, or "admitted". */
async function refusalOf(decision: Promise<AdmittedRequest>): Promise<string> {
    try {
        await decision;
    }
    catch (error) {
        assert.ok(error instanceof RequestError);
        assert.equal(error.execution, "not-run");
        return error.result.name;
    }
    return "admitted";
}

const withKeys = createConfiguration({
    organisations: [archive],
    routes: [createRoute(), createRoute({ name: "calls", pathPrefix: "/calls/", isPublic: true })],
});

test("without a configuration requests are refused as configuration-missing, not as route-unknown", async () => {
    const { decide } = createAdmission(undefined);
    assert.equal(await refusalOf(decide("/search/")), "configuration-missing");
});

test("a path without a route is refused as route-unknown", async () => {
    const { decide } = createAdmission(withKeys);
    assert.equal(await refusalOf(decide("/elsewhere/")), "route-unknown");
});

test("a request needs the key of an organisation and counts against the organisation's rate", async () => {
    const { decide } = createAdmission(withKeys);
    assert.equal(await refusalOf(decide("/search/")), "key-missing");
    assert.equal(await refusalOf(decide("/search/", "another")), "key-invalid");
    const admitted = await decide("/search/", "first-key");
    assert.equal(admitted.organisation?.name, "archive");
    assert.equal(admitted.service, "catalogue");
    assert.equal(await refusalOf(decide("/search/", "first-key")), "rate-exceeded");
});

test("when keys are not proved current, downstream calls are admitted and requests with a key are refused", async () => {
    const { clock, decide } = createAdmission(withKeys);
    clock.advance(LEASE_MS);
    assert.equal(await refusalOf(decide("/search/", "first-key")), "configuration-missing");
    assert.equal((await decide("/calls/")).isOnwardCall, true);
});

test("downstream pressure of a service causes new requests to be refused and downstream calls to be admitted", async () => {
    const { clock, throttle, decide } = createAdmission(withKeys);
    for (let index = 0; index < 100; index++) {
        throttle.record("catalogue", 1);
        clock.advance(20);
    }
    const results = new Set<string>();
    for (let index = 0; index < 50; index++) {
        results.add(await refusalOf(decide("/search/", "first-key")));
        assert.equal((await decide("/calls/")).isOnwardCall, true);
    }
    assert.ok(results.has("downstream-overloaded"));
});
