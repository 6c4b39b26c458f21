/**
 * The machine that reads the store for the others is cut off from the store. Just before, the entry of a target changed; just
 * after, the operator moves a route to another service.
 */
import { Agent } from "node:http";
import { fileURLToPath } from "node:url";
import { Deployment, runCase, sleep } from "../lib-2/stand-ins.mjs";

/** What was sent, answered and run. */
const recordFile = fileURLToPath(new URL("record.txt", import.meta.url));

const CONFIG_APPLY_MS = 2_000;
const ROUNDS = 6;
/** More than `Contact`, so that all machines are in touch when a round begins. */
const CALM_MS = 7_000;
const CUT_MS = 4_000;
const ENTRY_CHANGES_APART_MS = 250;
const CUT_AFTER_MS = 50;
const VERSION_AFTER_MS = 20;
/** Time after the acknowledgement in which requests are sent. */
const SEND_FROM_MS = 1_900;
const SEND_UNTIL_MS = 3_200;
const SEND_INTERVAL_MS = 10;

const services = ["alpha", "beta"];

/** The route leads to one service in odd versions and to the other one in even versions. */
function configuration(version) {
    return {
        ConfigVersion: version,
        Routes: [{
            Name: "r-orders",
            Host: "orders.example",
            PathPrefix: "/orders/",
            Kind: "unsafe",
            Timeout: "5000ms",
            Aim: "1200ms",
            Priority: 0,
            Service: services[version % 2],
            RetryAttempts: 2,
            Public: false,
        }],
        Services: services.map(Name => ({ Name, HealthPath: "/health", MaxConns: 934, Protocol: "h1", Tls: false })),
        Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 1048576, HeaderTimeout: "3000ms", IdleTimeout: "15000ms" },
        Tenants: [{ Name: "tenant-1", ApiKeys: ["key-1"], Priority: 0, RatePerS: 5000, Burst: 5000 }],
    };
}

await runCase(recordFile, async ({ record, hasTrouble, started }) => {
    const machines = Array.from({ length: 10 }, (_, index) => ({
        service: services[index % 2],
        zone: ["zone-a", "zone-b", "zone-c"][index % 3],
    }));
    const deployment = await Deployment.create({
        machines,
        configuration: configuration(1),
        record,
        logs: process.env.LOGS,
    });
    started.push(deployment);
    const { store } = deployment;
    deployment.machines.forEach(({ target }) => target.workMs = 2);
    if (!await deployment.whenReady()) {
        record.write("the nodes were not ready in time");
        return 2;
    }
    const agent = new Agent({ keepAlive: true });
    const sent = new Map();
    let count = 0;
    let version = 1;
    /** Sends requests to one machine for a while after the acknowledgement of a version. */
    const sendAfter = async (machine, acknowledgedAtMs) => {
        await sleep(acknowledgedAtMs + SEND_FROM_MS - performance.now());
        const answers = [];
        while (performance.now() < acknowledgedAtMs + SEND_UNTIL_MS) {
            const id = `order-${++count}`;
            sent.set(id, { machine, version, afterMs: performance.now() - acknowledgedAtMs });
            answers.push(
                deployment.send(machine, {
                    id,
                    key: "key-1",
                    method: "POST",
                    host: "orders.example",
                    path: "/orders/new",
                    body: "order",
                    agent,
                }),
            );
            await sleep(SEND_INTERVAL_MS);
        }
        await Promise.all(answers);
    };
    const changeEntry = round => {
        const [machine] = deployment.machines;
        deployment.beat(machine, { Slots: 100 + round });
    };
    for (let round = 1; round <= ROUNDS; round++) {
        await sleep(CALM_MS);
        changeEntry(2 * round);
        await sleep(ENTRY_CHANGES_APART_MS);
        changeEntry(2 * round + 1);
        await sleep(CUT_AFTER_MS);
        const reader = deployment.machines.find(({ storeAddress }) => storeAddress === store.lastReader);
        if (hasTrouble) {
            store.cut(reader.storeAddress);
            record.write(`${reader.address}, which asked the store last, is cut off from it`);
        }
        await sleep(VERSION_AFTER_MS);
        version++;
        store.put("op/config", configuration(version));
        const acknowledgedAtMs = performance.now();
        record.write(`version ${version} is acknowledged: the route leads to ${services[version % 2]}`);
        const others = deployment.machines.filter(machine => machine !== reader);
        await Promise.all([
            ...others.map(machine => sendAfter(machine, acknowledgedAtMs)),
            sleep(CUT_MS).then(() => store.heal(reader.storeAddress)),
        ]);
    }
    agent.destroy();
    let late = 0;
    let latestMs = 0;
    for (const { service, target } of deployment.machines) {
        for (const { id } of target.runs) {
            const { machine, version: inForce, afterMs } = sent.get(id);
            if (service !== services[inForce % 2] && afterMs > CONFIG_APPLY_MS) {
                late++;
                latestMs = Math.max(latestMs, afterMs);
                record.write(
                    `${id}, sent to ${machine.address} ${
                        Math.round(afterMs)
                    } ms after the acknowledgement of version ` +
                        `${inForce}, is run by ${service}`,
                );
            }
        }
    }
    record.write(
        `sent: ${sent.size}; run by the service of the older version, sent over ${CONFIG_APPLY_MS} ms after the ` +
            `acknowledgement: ${late}, the last one ${Math.round(latestMs)} ms after it`,
    );
    return late > 0 ? 1 : 0;
});
