import { collectReport, countEnded, sumCounters } from "@radishrouter/cli";
import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { Pool } from "undici";
import { ports } from "../fleet/addresses.js";
import { createExampleConfiguration } from "../fleet/example-configuration.js";
import { Fleet } from "../fleet/fleet.js";
import { waitFor } from "../fleet/wait-for.js";

const BATCH = 48;
const SERVICE_MS = 40;
const failureDomains = {
    "khomas-a": { region: "khomas", seats: 2 },
    "khomas-b": { region: "khomas", seats: 2 },
};
const example = createExampleConfiguration({
    organisations: { archive: { rate: 4000, burst: 4000 }, mission: { rate: 4000, burst: 4000 } },
    services: { catalogue: { slots: 8, connections: 32 }, items: { slots: 8, connections: 32 } },
    failureDomains,
});
const entries = ["catalogue-1", "items-1"];
const others = ["catalogue-2", "items-2"];

/** What callers of one organisation saw at one node. */
interface CallerCounts {
    sent: number;
    completed: number;
    failed: number;
    refused: Record<string, number>;
    /** Answers that say that the request may have run, and truncated answers. */
    unknown: number;
    /** Callers that went away; the node knows what became of their requests, they do not. */
    left: number;
}

describe("the ledger under faults", () => {
    let fleet: Fleet;
    const pools = new Map<string, Pool>();
    const seen = new Map<string, CallerCounts>();
    let nextRequest = 0;

    before(async () => {
        const hosts = [...entries, ...others].map((name, index) => ({
            name,
            service: name.split("-")[0]!,
            failureDomain: index < 2 ? "khomas-a" : "khomas-b",
            region: "khomas",
            seat: index % 2,
            behaviour: { serviceMs: SERVICE_MS, onwardCalls: name.startsWith("catalogue") ? ["/items/read/1"] : [] },
        }));
        fleet = await Fleet.create({ hosts, configuration: example.configuration, proxied: true });
        for (const name of entries) {
            pools.set(name, new Pool(fleet.callerUrl(name), { connections: BATCH }));
        }
    });

    after(async () => {
        await Promise.all([...pools.values()].map(pool => pool.destroy()));
        await fleet.stop();
    });

    function countsOf(entry: string, organisation: string): CallerCounts {
        const name = `${entry} ${organisation}`;
        const counts = seen.get(name) ?? { sent: 0, completed: 0, failed: 0, refused: {}, unknown: 0, left: 0 };
        seen.set(name, counts);
        return counts;
    }

    /** Sends one request; with `leave` the caller goes away once a backend server runs it. */
    async function send(index: number, options: { leave?: boolean; crash?: boolean; } = {}): Promise<void> {
        const entry = entries[index % 2]!;
        const organisation = index % 3 === 0 ? "mission" : "archive";
        const counts = countsOf(entry, organisation);
        const requestId = `ledger-${nextRequest++}`;
        const controller = new AbortController();
        counts.sent++;
        const answer = exchange(entry, organisation, {
            method: index % 4 === 0 ? "POST" : "GET",
            requestId,
            crash: options.crash ?? false,
            signal: controller.signal,
        });
        if (options.leave) {
            let isAnswered = false;
            void answer.then(() => (isAnswered = true));
            const runs = () => fleet.runRecords().some(run => run.requestId === requestId);
            await waitFor(() => isAnswered || runs(), `${requestId} runs`);
            controller.abort();
        }
        const result = await answer;
        if (options.leave && result.kind === "broken") {
            counts.left++;
        }
        else {
            count(counts, result);
        }
    }

    type Seen =
        | { readonly kind: "whole"; readonly status: number; }
        | { readonly kind: "problem"; readonly code: number; readonly execution: string; }
        | { readonly kind: "broken"; };

    async function exchange(
        entry: string,
        organisation: string,
        options: { method: "GET" | "POST"; requestId: string; crash: boolean; signal: AbortSignal; },
    ): Promise<Seen> {
        try {
            const answer = await pools.get(entry)!.request({
                method: options.method,
                path: options.method === "GET" ? "/catalogue/read/1" : "/catalogue/book/1",
                body: options.method === "POST" ? "booking" : undefined,
                headers: {
                    "authorization": `Bearer ${example.keys[organisation]}`,
                    "x-request-id": options.requestId,
                    ...(options.crash ? { "x-crash": "yes" } : {}),
                },
                signal: options.signal,
            });
            const text = await answer.body.text();
            if (answer.headers["content-type"] !== "application/problem+json") {
                return { kind: "whole", status: answer.statusCode };
            }
            return { kind: "problem", ...JSON.parse(text) as { code: number; execution: string; } };
        }
        catch {
            return { kind: "broken" };
        }
    }

    function count(counts: CallerCounts, answer: Seen): void {
        switch (answer.kind) {
            case "whole":
                counts.completed += answer.status < 500 ? 1 : 0;
                counts.failed += answer.status < 500 ? 0 : 1;
                return;
            case "problem":
                if (answer.execution === "not-run") {
                    counts.refused[answer.code] = (counts.refused[answer.code] ?? 0) + 1;
                }
                else {
                    counts.unknown++;
                }
                return;
            case "broken":
                counts.unknown++;
        }
    }

    /** Sends a batch, causes a fault once some of it runs, and compares both sides at rest. */
    async function expectSums(
        cause: () => Promise<unknown>,
        options: (index: number) => { leave?: boolean; crash?: boolean; } = () => ({}),
    ): Promise<void> {
        const runsBefore = fleet.runRecords().length;
        const batch = Array.from({ length: BATCH }, (_, index) => send(index, options(index)));
        await waitFor(() => fleet.runRecords().length > runsBefore, "some requests run");
        await cause();
        await Promise.all(batch);
        for (const entry of entries) {
            await waitFor(async () => (await fleet.report(entry)).openRequests === 0, `${entry} is at rest`);
            const report = await fleet.report(entry);
            for (const organisation of ["archive", "mission"]) {
                const row = report.organisations[organisation]!;
                assert.equal(countEnded(row), row.offered, `outcomes at ${entry} sum up to what was offered`);
                const counts = countsOf(entry, organisation);
                assert.equal(row.offered, counts.sent, `${organisation} at ${entry}`);
                const excess = [
                    row.completed - counts.completed,
                    sumCounters(row.failed) - counts.failed,
                    sumCounters(row.unknown) - counts.unknown,
                    ...Object.entries(row.refused).map(([code, refused]) => refused - (counts.refused[code] ?? 0)),
                ];
                assert.ok(excess.every(difference => difference >= 0), `no answer of ${entry} is missing: ${excess}`);
                const unseen = excess.reduce((sum, difference) => sum + difference, 0);
                assert.equal(unseen, counts.left, `what callers did not see at ${entry} is what they left`);
            }
        }
    }

    function cutConnections(port: number): Promise<void> {
        return fleet.setProxyRules([{ ports: [port], fault: "reset" }]);
    }

    test("agrees with what callers saw without a fault", () => expectSums(() => Promise.resolve()));

    test("agrees when callers go away", () =>
        expectSums(() => Promise.resolve(), index => ({ leave: index % 3 === 0 })));

    test("agrees when connections between nodes are cut", () => expectSums(() => cutConnections(ports.forward)));

    test("agrees when connections to backend servers are cut", () => {
        return expectSums(() => cutConnections(ports.backendServer));
    });

    test("agrees when answers end early", async () => {
        await expectSums(() => fleet.setBehaviour("catalogue-2", { mode: "truncate" }));
        await fleet.setBehaviour("catalogue-2", { mode: "normal" });
    });

    test("agrees when a backend server crashes", async () => {
        await expectSums(() => fleet.restartBackend("catalogue-1"), index => ({ crash: index === 4 }));
    });

    test("agrees when other nodes are killed, and the report says so", async () => {
        const urls = [...entries, ...others].map(name => fleet.operatorsUrl(name));
        const earlier = await collectReport(urls);
        assert.ok(earlier.complete);
        await expectSums(() => Promise.all(others.map(name => fleet.restartNode(name))));
        const report = await collectReport(urls, earlier);
        assert.equal(report.complete, false);
        assert.deepEqual(report.restarted.map(node => node.host).sort(), [...others].sort());
        const offered = report.organisations.reduce((sum, row) => sum + row.offered, 0);
        assert.equal(offered, BATCH, "requests that nodes sent each other are not counted again");
    });

    test("agrees when kills, cuts and leaving callers come together", () => {
        const cause = () =>
            Promise.all([
                fleet.restartNode("items-2"),
                fleet.restartBackend("catalogue-2"),
                cutConnections(ports.forward),
            ]);
        return expectSums(cause, index => ({ leave: index % 5 === 0 }));
    });
});
