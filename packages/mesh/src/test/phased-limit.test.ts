import { ManualClock } from "@radishrouter/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { OrganisationQuota, PhasedLimit } from "../index.js";
import { createOrganisation, toFleetHost } from "./example-values.js";

const RAMP_DOWN_MS = 5_000;
const HOSTS = ["10.0.0.1", "10.0.0.2"];

test("a lowered limit decreases linearly, and a raised one takes effect at once", () => {
    const clock = ManualClock.create();
    const limit = PhasedLimit.create(clock, RAMP_DOWN_MS, 100);
    limit.change(50);
    assert.equal(limit.current(), 100);
    clock.advance(RAMP_DOWN_MS / 2);
    assert.equal(limit.current(), 75);
    limit.change(25);
    assert.equal(limit.current(), 75);
    clock.advance(RAMP_DOWN_MS);
    assert.equal(limit.current(), 25);
    limit.change(80);
    assert.equal(limit.current(), 80);
    assert.equal(limit.targetLimit, 80);
});

/** Number of requests within the rate in one second in which 100 are sent to one host. */
function servedInSecond(
    quota: OrganisationQuota,
    clock: ManualClock,
    organisation: ReturnType<typeof createOrganisation>,
) {
    let served = 0;
    for (let request = 0; request < 100; request++) {
        served += quota.tryTake(organisation) ? 1 : 0;
        clock.advance(10);
    }
    return served;
}

test("when the rate of an organisation is halved, refusals increase gradually and the new rate holds afterwards", () => {
    const clock = ManualClock.create();
    const before = createOrganisation({ ratePerSecond: 200, burst: 20 });
    const after = createOrganisation({ ratePerSecond: 100, burst: 20 });
    const quota = OrganisationQuota.create(clock, HOSTS[0]!, () => HOSTS.map(toFleetHost), RAMP_DOWN_MS);
    quota.setOrganisations([before]);
    assert.ok(servedInSecond(quota, clock, before) >= 99);
    quota.setOrganisations([after]);
    const served = Array.from({ length: 7 }, () => servedInSecond(quota, clock, after));
    assert.ok(served[0]! >= 90, `${served}`);
    assert.ok(served.every((count, second) => second === 0 || count <= served[second - 1]! + 1), `${served}`);
    assert.ok(served[5]! <= 52 && served[6]! <= 52, `${served}`);
});

test("a share that shrinks because hosts joined takes effect at once", () => {
    const clock = ManualClock.create();
    const organisation = createOrganisation({ ratePerSecond: 100, burst: 20 });
    let hosts = HOSTS.slice(0, 1);
    const quota = OrganisationQuota.create(clock, HOSTS[0]!, () => hosts.map(toFleetHost), RAMP_DOWN_MS);
    quota.setOrganisations([organisation]);
    servedInSecond(quota, clock, organisation);
    hosts = HOSTS;
    quota.updateShares();
    assert.ok(servedInSecond(quota, clock, organisation) <= 61);
});

test("a limit that decreases without delay applies at once, also when the clock has not advanced", () => {
    const clock = ManualClock.create();
    const limit = PhasedLimit.create(clock, 0, 100);
    limit.change(5);
    assert.equal(limit.current(), 5);
    const organisation = createOrganisation({ ratePerSecond: 100, burst: 10 });
    const hosts = [toFleetHost("10.0.0.1")];
    const quota = OrganisationQuota.create(clock, "10.0.0.1", () => hosts, 0);
    quota.setOrganisations([organisation]);
    quota.tryTake(organisation);
    quota.setOrganisations([{ ...organisation, ratePerSecond: 5, burst: 5 }]);
    let served = 0;
    for (let request = 0; request < 1_000; request++) {
        served += quota.tryTake(organisation) ? 1 : 0;
        clock.advance(1);
    }
    assert.ok(served <= 10, `${served} requests in a second at a rate of 5`);
});
