import { collectReport, countEnded, sumCounters } from "@radishrouter/cli";
import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { Pool } from "undici";
import { ports } from "../fleet/addresses.js";
import { createExampleConfiguration } from "../fleet/example-configuration.js";
import { Fleet } from "../fleet/fleet.js";
import { waitFor } from "../fleet/wait-for.js";

const BATCH_SIZE = 48;
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
const entryHosts = ["catalogue-1", "items-1"];
const otherHosts = ["catalogue-2", "items-2"];

/** Outcomes that the callers of one organisation observed at one node. */
interface CallerCounts {
    sent: number;
    completed: number;
    failed: number;
    refused: Record<string, number>;
    /** Results that report that the request may have run, and truncated responses. */
    unknown: number;
    /** Callers that disconnected; the node knows the outcome of their requests, the callers do not. */
    disconnected: number;
}

describe("the outcome ledger under faults", () => {
    let fleet: Fleet;
    const pools = new Map<string, Pool>();
    const callerCounts = new Map<string, CallerCounts>();
    let nextRequest = 0;

    before(async () => {
        const hosts = [...entryHosts, ...otherHosts].map((name, index) => ({
            name,
            service: name.split("-")[0]!,
            failureDomain: index < 2 ? "khomas-a" : "khomas-b",
            region: "khomas",
            seat: index % 2,
            behaviour: { serviceMs: SERVICE_MS, onwardCalls: name.startsWith("catalogue") ? ["/items/read/1"] : [] },
        }));
        fleet = await Fleet.create({ hosts, configuration: example.configuration, proxied: true });
        for (const name of entryHosts) {
            pools.set(name, new Pool(fleet.callerUrl(name), { connections: BATCH_SIZE }));
        }
    });

    after(async () => {
        await Promise.all([...pools.values()].map(pool => pool.destroy()));
        await fleet.stop();
    });

    function countsOf(entry: string, organisation: string): CallerCounts {
        const name = `${entry} ${organisation}`;
        const counts = callerCounts.get(name) ??
            { sent: 0, completed: 0, failed: 0, refused: {}, unknown: 0, disconnected: 0 };
        callerCounts.set(name, counts);
        return counts;
    }

    /** Sends one request; with `disconnect` the caller closes its connection once a backend server runs the request. */
    async function send(index: number, options: { disconnect?: boolean; crash?: boolean; } = {}): Promise<void> {
        const entry = entryHosts[index % 2]!;
        const organisation = index % 3 === 0 ? "mission" : "archive";
        const counts = countsOf(entry, organisation);
        const requestId = `ledger-${nextRequest++}`;
        const controller = new AbortController();
        counts.sent++;
        const pending = sendRequest(entry, organisation, {
            method: index % 4 === 0 ? "POST" : "GET",
            requestId,
            crash: options.crash ?? false,
            signal: controller.signal,
        });
        if (options.disconnect) {
            let hasEnded = false;
            void pending.then(() => (hasEnded = true));
            const runs = () => fleet.runRecords().some(run => run.requestId === requestId);
            await waitFor(() => hasEnded || runs(), `${requestId} runs`);
            controller.abort();
        }
        const result = await pending;
        if (options.disconnect && result.kind === "broken") {
            counts.disconnected++;
        }
        else {
            countResult(counts, result);
        }
    }

    type ObservedResult =
        | { readonly kind: "complete"; readonly status: number; }
        | { readonly kind: "problem"; readonly code: number; readonly execution: string; }
        | { readonly kind: "broken"; };

    async function sendRequest(
        entry: string,
        organisation: string,
        options: { method: "GET" | "POST"; requestId: string; crash: boolean; signal: AbortSignal; },
    ): Promise<ObservedResult> {
        try {
            const response = await pools.get(entry)!.request({
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
            const text = await response.body.text();
            if (response.headers["content-type"] !== "application/problem+json") {
                return { kind: "complete", status: response.statusCode };
            }
            return { kind: "problem", ...JSON.parse(text) as { code: number; execution: string; } };
        }
        catch {
            return { kind: "broken" };
        }
    }

    function countResult(counts: CallerCounts, result: ObservedResult): void {
        switch (result.kind) {
            case "complete":
                counts.completed += result.status < 500 ? 1 : 0;
                counts.failed += result.status < 500 ? 0 : 1;
                return;
            case "problem":
                if (result.execution === "not-run") {
                    counts.refused[result.code] = (counts.refused[result.code] ?? 0) + 1;
                }
                else {
                    counts.unknown++;
                }
                return;
            case "broken":
                counts.unknown++;
        }
    }

    /**
     * Sends a batch, injects a fault once some of its requests run, and compares the ledger of each node with the
     * counts of its callers when no request is in flight.
     */
    async function expectMatchingCounts(
        injectFault: () => Promise<unknown>,
        options: (index: number) => { disconnect?: boolean; crash?: boolean; } = () => ({}),
    ): Promise<void> {
        const runsBefore = fleet.runRecords().length;
        const batch = Array.from({ length: BATCH_SIZE }, (_, index) => send(index, options(index)));
        await waitFor(() => fleet.runRecords().length > runsBefore, "some requests run");
        await injectFault();
        await Promise.all(batch);
        for (const entry of entryHosts) {
            await waitFor(
                async () => (await fleet.report(entry)).openRequests === 0,
                `${entry} has no request in flight`,
            );
            const report = await fleet.report(entry);
            for (const organisation of ["archive", "mission"]) {
                const row = report.organisations[organisation]!;
                assert.equal(countEnded(row), row.offered, `outcomes at ${entry} sum up to the offered requests`);
                const counts = countsOf(entry, organisation);
                assert.equal(row.offered, counts.sent, `offered requests of ${organisation} at ${entry}`);
                const surpluses = [
                    row.completed - counts.completed,
                    sumCounters(row.failed) - counts.failed,
                    sumCounters(row.unknown) - counts.unknown,
                    ...Object.entries(row.refused).map(([code, refused]) => refused - (counts.refused[code] ?? 0)),
                ];
                assert.ok(
                    surpluses.every(difference => difference >= 0),
                    `${entry} counted fewer outcomes than its callers observed; differences: ${surpluses}`,
                );
                const unseenTotal = surpluses.reduce((sum, difference) => sum + difference, 0);
                assert.equal(
                    unseenTotal,
                    counts.disconnected,
                    `outcomes at ${entry} that no caller observed belong to callers that disconnected`,
                );
            }
        }
    }

    function resetConnections(port: number): Promise<void> {
        return fleet.setProxyRules([{ ports: [port], fault: "reset" }]);
    }

    test("agrees with the outcomes that callers observed without a fault", () =>
        expectMatchingCounts(() => Promise.resolve()));

    test("agrees when callers disconnect", () =>
        expectMatchingCounts(() => Promise.resolve(), index => ({ disconnect: index % 3 === 0 })));

    test("agrees when connections between nodes are reset", () =>
        expectMatchingCounts(() => resetConnections(ports.forward)));

    test("agrees when connections to backend servers are reset", () => {
        return expectMatchingCounts(() => resetConnections(ports.backendServer));
    });

    test("agrees when responses are truncated", async () => {
        await expectMatchingCounts(() => fleet.setBehaviour("catalogue-2", { mode: "truncate" }));
        await fleet.setBehaviour("catalogue-2", { mode: "normal" });
    });

    test("agrees when a backend server crashes", async () => {
        await expectMatchingCounts(() => fleet.restartBackend("catalogue-1"), index => ({ crash: index === 4 }));
    });

    test("agrees when other nodes are killed, and the report lists them as restarted", async () => {
        const urls = [...entryHosts, ...otherHosts].map(name => fleet.operatorsUrl(name));
        const earlier = await collectReport(urls);
        assert.ok(earlier.complete);
        await expectMatchingCounts(() => Promise.all(otherHosts.map(name => fleet.restartNode(name))));
        const report = await collectReport(urls, earlier);
        assert.equal(report.complete, false);
        assert.deepEqual(report.restarted.map(node => node.host).sort(), [...otherHosts].sort());
        const offered = report.organisations.reduce((sum, row) => sum + row.offered, 0);
        assert.equal(offered, BATCH_SIZE, "requests that nodes forwarded to each other are not counted twice");
    });

    test("agrees when kills, connection resets and disconnecting callers happen at the same time", () => {
        const injectFaults = () =>
            Promise.all([
                fleet.restartNode("items-2"),
                fleet.restartBackend("catalogue-2"),
                resetConnections(ports.forward),
            ]);
        return expectMatchingCounts(injectFaults, index => ({ disconnect: index % 5 === 0 }));
    });
});
