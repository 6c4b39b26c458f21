import assert from "node:assert/strict";
import { after, afterEach, before, describe, test } from "node:test";
import { request } from "undici";
import { createExampleConfiguration } from "../fleet/example-configuration.js";
import { Fleet } from "../fleet/fleet.js";
import { findContradictions, RecordingCaller, waitForLogs } from "../fleet/recording-caller.js";
import type { SendRecord } from "../fleet/recording-caller.js";
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
        await Promise.all(names.map(waitForRate));
    });

    afterEach(() => fleet.setProxyRules([]));
    after(async () => {
        await caller.close();
        await fleet.stop();
    });

    function book(host: string, requestId: string, idempotencyKey?: string): Promise<SendRecord> {
        const url = `${fleet.callerUrl(host)}/orders/book/1`;
        return caller.sendWithinRate({ host, url, method: "POST", key, requestId, idempotencyKey });
    }

    /** Waits until a node that has started has tokens for the organisation. */
    async function waitForRate(host: string): Promise<void> {
        await waitFor(async () => {
            const url = `${fleet.callerUrl(host)}/orders/read/1`;
            const { result } = await caller.sendWithinRate({ host, url, method: "GET", key, requestId: "warm" });
            return result.kind === "answered";
        }, `${host} has tokens`);
    }

    async function issueKey(host: string): Promise<string> {
        const url = `${fleet.callerUrl(host)}/.radishrouter/idempotency-keys`;
        const answer = await request(url, { method: "POST", headers: { authorization: `Bearer ${key}` } });
        return (await answer.body.json() as { idempotencyKey: string; }).idempotencyKey;
    }

    function startsOf(requestId: string): number {
        return fleet.runRecords().filter(run => run.requestId === requestId && run.event === "start").length;
    }

    /** Waits until the backend servers' logs have arrived, then compares them with what callers received. */
    async function checkAll(): Promise<void> {
        await waitForLogs(fleet, caller.records);
        assert.deepEqual(findContradictions(caller.records, fleet.runRecords()), []);
    }

    /** Sends until a result is there that says what became of the request. */
    async function bookUntilAnswered(host: string, requestId: string, idempotencyKey: string): Promise<SendRecord> {
        let last: SendRecord | undefined;
        await waitFor(async () => {
            last = await book(host, requestId, idempotencyKey);
            return last.result.kind === "answered";
        }, `${requestId} is answered`);
        return last!;
    }

    test("when it is sent again to every node, with the key of the caller or of a node", async () => {
        for (let number = 0; number < 8; number++) {
            const requestId = `again-${number}`;
            const idempotencyKey = number % 2 === 0 ? `order-${number}` : await issueKey(names[number % 4]!);
            const first = await bookUntilAnswered(names[0]!, requestId, idempotencyKey);
            assert.ok(first.result.kind === "answered" && !first.result.replayed);
            for (const name of names) {
                const { result } = await book(name, requestId, idempotencyKey);
                assert.ok(result.kind === "answered" && result.replayed, JSON.stringify(result));
            }
        }
        await checkAll();
    });

    test("when it is sent to every node at the same time", async () => {
        for (let number = 0; number < 5; number++) {
            const requestId = `together-${number}`;
            const records = await Promise.all(names.map(name => book(name, requestId, requestId)));
            const answered = records.filter(({ result }) => result.kind === "answered");
            const running = records.filter(({ result }) => result.kind === "problem" && result.code === 2010);
            assert.equal(answered.length + running.length, names.length);
        }
        await checkAll();
    });

    test("and its key is refused for another request", async () => {
        await bookUntilAnswered(names[0]!, "first-use", "used-twice");
        const { result } = await book(names[1]!, "second-use", "used-twice");
        assert.ok(result.kind === "problem" && result.code === 1014 && result.execution === "not-run");
        assert.equal(startsOf("second-use"), 0);
        const malformed = await book(names[1]!, "malformed", "with a space");
        assert.ok(malformed.result.kind === "problem" && malformed.result.code === 1013);
    });

    test("when failure domains are cut off, where keys of the own domain go on working", async () => {
        await fleet.setProxyRules(fleet.cutRules(["goteborg"], { fault: "refuse" }));
        for (const name of names) {
            const own = `${fleet.host(name).specification.failureDomain}:${name}`;
            const other = name.startsWith("goteborg") ? "jonkoping" : "goteborg";
            assert.equal((await book(name, `own-${name}`, own)).result.kind, "answered");
            const issued = await issueKey(name);
            assert.equal((await book(name, `issued-${name}`, issued)).result.kind, "answered");
            const across = await book(name, `across-${name}`, `${other}:${name}`);
            assert.ok(across.result.kind === "problem" && across.result.execution === "unknown");
            assert.equal(startsOf(`across-${name}`), 0);
        }
        await fleet.setProxyRules([]);
        for (const name of names) {
            const other = name.startsWith("goteborg") ? "jonkoping" : "goteborg";
            await bookUntilAnswered(name, `across-${name}`, `${other}:${name}`);
            const own = `${fleet.host(name).specification.failureDomain}:${name}`;
            const again = await bookUntilAnswered(other === "goteborg" ? names[0]! : names[2]!, `own-${name}`, own);
            assert.ok(again.result.kind === "answered" && again.result.replayed);
        }
        await checkAll();
    });

    test("when connections between hosts or to the backend server are cut at any time", async () => {
        const sends: Promise<SendRecord>[] = [];
        for (let round = 0; round < 12; round++) {
            for (const [index, name] of names.entries()) {
                const requestId = `cut-${round}-${index}`;
                sends.push(book(name, requestId, index % 2 === 0 ? requestId : undefined));
            }
            await new Promise(resolve => setTimeout(resolve, 7 * (round % 5)));
            await fleet.setProxyRules([{ fault: "reset" }]);
        }
        const records = await Promise.all(sends);
        assert.ok(records.some(({ result }) => result.kind === "problem" && result.execution === "unknown"));
        for (const { requestId } of records.filter(({ requestId }) => /-[02]$/.test(requestId))) {
            const index = Number(requestId.slice(-1));
            await waitFor(async () => {
                const { result } = await book(names[3 - index]!, requestId, requestId);
                return result.kind === "answered" || (result.kind === "problem" && result.code === 3006);
            }, `${requestId} has an outcome`);
        }
        await checkAll();
    });

    test("when the node that owns its key is replaced", async () => {
        const requests = Array.from({ length: 12 }, (_, number) => `replaced-${number}`);
        await Promise.all(requests.map(requestId => bookUntilAnswered(names[0]!, requestId, requestId)));
        const issued = await issueKey("jonkoping-1");
        await bookUntilAnswered(names[0]!, "issued-before", issued);
        await fleet.restartNode("jonkoping-1");
        await fleet.waitForConfiguration("jonkoping-1");
        await waitForRate("jonkoping-1");
        const records = await Promise.all(
            requests.flatMap(requestId => names.map(name => book(name, requestId, requestId))),
        );
        const refused = records.filter(({ result }) => result.kind === "problem");
        assert.ok(refused.length > 0 && refused.length < records.length);
        assert.ok(refused.every(({ result }) => result.kind === "problem" && result.execution === "unknown"));
        const last = await book(names[0]!, "issued-before", issued);
        assert.ok(last.result.kind === "problem" && last.result.code === 3006);
        await checkAll();
    });
});
