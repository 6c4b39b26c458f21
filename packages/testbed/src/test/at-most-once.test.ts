import assert from "node:assert/strict";
import { after, afterEach, before, describe, test } from "node:test";
import { request } from "undici";
import { createExampleConfiguration } from "../fleet/example-configuration.js";
import { Fleet } from "../fleet/fleet.js";
import { findContradictions, RecordingCaller, waitForRunRecords } from "../fleet/recording-caller.js";
import type { AttemptRecord } from "../fleet/recording-caller.js";
import { waitFor } from "../fleet/wait-for.js";

const failureDomains = {
    "goteborg": { region: "sweden", seats: 2 },
    "jonkoping": { region: "sweden", seats: 2 },
};
const example = createExampleConfiguration({
    organisations: { haulier: { rate: 100_000, burst: 100_000 } },
    services: { orders: {} },
    failureDomains,
});
const key = example.keys["haulier"]!;

describe("a non-idempotent request runs at most once", () => {
    let fleet: Fleet;
    let caller: RecordingCaller;
    let names: string[];

    before(async () => {
        const hosts = Object.keys(failureDomains).flatMap(failureDomain =>
            [0, 1].map(seat => ({
                name: `${failureDomain}-${seat}`,
                service: "orders",
                failureDomain,
                region: "sweden",
                seat,
                behaviour: { serviceMs: 30 },
            }))
        );
        fleet = await Fleet.create({ hosts, configuration: example.configuration, proxied: true });
        caller = RecordingCaller.create(fleet.addresses.client);
        names = [...fleet.hosts.keys()];
        await Promise.all(names.map(waitForTokens));
    });

    afterEach(() => fleet.setProxyRules([]));
    after(async () => {
        await caller.close();
        await fleet.stop();
    });

    function book(host: string, requestId: string, idempotencyKey?: string): Promise<AttemptRecord> {
        const url = `${fleet.callerUrl(host)}/orders/book/1`;
        return caller.sendWithinRate({ host, url, method: "POST", key, requestId, idempotencyKey });
    }

    /** Waits until a newly started node has rate tokens for the organisation. */
    async function waitForTokens(host: string): Promise<void> {
        await waitFor(async () => {
            const url = `${fleet.callerUrl(host)}/orders/read/1`;
            const { result } = await caller.sendWithinRate({ host, url, method: "GET", key, requestId: "warm" });
            return result.kind === "answered";
        }, `${host} has tokens`);
    }

    async function issueIdempotencyKey(host: string): Promise<string> {
        const url = `${fleet.callerUrl(host)}/.radishrouter/idempotency-keys`;
        const response = await request(url, { method: "POST", headers: { authorization: `Bearer ${key}` } });
        return (await response.body.json() as { idempotencyKey: string; }).idempotencyKey;
    }

    function countStarts(requestId: string): number {
        return fleet.runRecords().filter(run => run.requestId === requestId && run.event === "start").length;
    }

    /** Waits for the run records of the backend servers and compares them with the results that callers received. */
    async function assertNoContradictions(): Promise<void> {
        await waitForRunRecords(fleet, caller.records);
        assert.deepEqual(findContradictions(caller.records, fleet.runRecords()), []);
    }

    /** Retries a booking with the same idempotency key until it gets a response of a backend server. */
    async function bookUntilAnswered(host: string, requestId: string, idempotencyKey: string): Promise<AttemptRecord> {
        let last: AttemptRecord | undefined;
        await waitFor(async () => {
            last = await book(host, requestId, idempotencyKey);
            return last.result.kind === "answered";
        }, `${requestId} is answered`);
        return last!;
    }

    test("when it is retried at every node, with a key that the caller chose or a node issued", async () => {
        for (let number = 0; number < 8; number++) {
            const requestId = `again-${number}`;
            const idempotencyKey = number % 2 === 0 ? `order-${number}` : await issueIdempotencyKey(names[number % 4]!);
            const first = await bookUntilAnswered(names[0]!, requestId, idempotencyKey);
            assert.ok(first.result.kind === "answered" && !first.result.replayed);
            for (const name of names) {
                const { result } = await book(name, requestId, idempotencyKey);
                assert.ok(result.kind === "answered" && result.replayed, JSON.stringify(result));
            }
        }
        await assertNoContradictions();
    });

    test("when it is sent to every node concurrently", async () => {
        for (let number = 0; number < 5; number++) {
            const requestId = `together-${number}`;
            const records = await Promise.all(names.map(name => book(name, requestId, requestId)));
            const answered = records.filter(({ result }) => result.kind === "answered");
            const inProgress = records.filter(({ result }) => result.kind === "problem" && result.code === 2010);
            assert.equal(answered.length + inProgress.length, names.length);
        }
        await assertNoContradictions();
    });

    test("and its idempotency key is refused for a different request", async () => {
        await bookUntilAnswered(names[0]!, "first-use", "used-twice");
        const { result } = await book(names[1]!, "second-use", "used-twice");
        assert.ok(result.kind === "problem" && result.code === 1014 && result.execution === "not-run");
        assert.equal(countStarts("second-use"), 0);
        const malformed = await book(names[1]!, "malformed", "with a space");
        assert.ok(malformed.result.kind === "problem" && malformed.result.code === 1013);
    });

    test("when failure domains are partitioned, and keys owned by the local domain keep working", async () => {
        await fleet.setProxyRules(fleet.createPartitionRules(["goteborg"], { fault: "refuse" }));
        for (const name of names) {
            const localKey = `${fleet.host(name).specification.failureDomain}:${name}`;
            const otherDomain = name.startsWith("goteborg") ? "jonkoping" : "goteborg";
            assert.equal((await book(name, `own-${name}`, localKey)).result.kind, "answered");
            const issuedKey = await issueIdempotencyKey(name);
            assert.equal((await book(name, `issued-${name}`, issuedKey)).result.kind, "answered");
            const crossDomain = await book(name, `across-${name}`, `${otherDomain}:${name}`);
            assert.ok(crossDomain.result.kind === "problem" && crossDomain.result.execution === "unknown");
            assert.equal(countStarts(`across-${name}`), 0);
        }
        await fleet.setProxyRules([]);
        for (const name of names) {
            const otherDomain = name.startsWith("goteborg") ? "jonkoping" : "goteborg";
            await bookUntilAnswered(name, `across-${name}`, `${otherDomain}:${name}`);
            const localKey = `${fleet.host(name).specification.failureDomain}:${name}`;
            const retried = await bookUntilAnswered(
                otherDomain === "goteborg" ? names[0]! : names[2]!,
                `own-${name}`,
                localKey,
            );
            assert.ok(retried.result.kind === "answered" && retried.result.replayed);
        }
        await assertNoContradictions();
    });

    test("when connections between hosts or to the backend server are reset at any time", async () => {
        const pending: Promise<AttemptRecord>[] = [];
        for (let round = 0; round < 12; round++) {
            for (const [index, name] of names.entries()) {
                const requestId = `cut-${round}-${index}`;
                pending.push(book(name, requestId, index % 2 === 0 ? requestId : undefined));
            }
            await new Promise(resolve => setTimeout(resolve, 7 * (round % 5)));
            await fleet.setProxyRules([{ fault: "reset" }]);
        }
        const records = await Promise.all(pending);
        assert.ok(records.some(({ result }) => result.kind === "problem" && result.execution === "unknown"));
        for (const { requestId } of records.filter(({ requestId }) => /-[02]$/.test(requestId))) {
            const index = Number(requestId.slice(-1));
            await waitFor(async () => {
                const { result } = await book(names[3 - index]!, requestId, requestId);
                return result.kind === "answered" || (result.kind === "problem" && result.code === 3006);
            }, `${requestId} has an outcome`);
        }
        await assertNoContradictions();
    });

    test("when the node that owns its idempotency key is restarted", async () => {
        const requests = Array.from({ length: 12 }, (_, number) => `replaced-${number}`);
        await Promise.all(requests.map(requestId => bookUntilAnswered(names[0]!, requestId, requestId)));
        const issuedKey = await issueIdempotencyKey("jonkoping-1");
        await bookUntilAnswered(names[0]!, "issued-before", issuedKey);
        await fleet.restartNode("jonkoping-1");
        await fleet.waitForConfiguration("jonkoping-1");
        await waitForTokens("jonkoping-1");
        const records = await Promise.all(
            requests.flatMap(requestId => names.map(name => book(name, requestId, requestId))),
        );
        const problems = records.filter(({ result }) => result.kind === "problem");
        assert.ok(problems.length > 0 && problems.length < records.length);
        assert.ok(problems.every(({ result }) => result.kind === "problem" && result.execution === "unknown"));
        const last = await book(names[0]!, "issued-before", issuedKey);
        assert.ok(last.result.kind === "problem" && last.result.code === 3006);
        await assertNoContradictions();
    });
});
