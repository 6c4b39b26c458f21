/**
 * Tenants are removed by a new configuration while nodes ask another machine for tokens of these tenants. Such a node
 * keeps a quota for a tenant that the configuration no longer has; from then on each target that joins or leaves raises
 * an error there, and the process ends in the middle of a release, with the requests that it serves.
 */
import { Agent, request as sendRequest } from "node:http";
import { fileURLToPath } from "node:url";
import { highestScoringNames } from "../../packages/core/dist/index.js";
import { runCase, sleep, waitFor } from "../lib/deployment.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const HOSTS = 12;
/** Hosts that stay; the others are replaced, one after the other, in each release. */
const STAYING_HOSTS = 8;
const FREEZE_MS = 3_000;
/** Time from the beginning of the freeze until the operator publishes the next configuration. */
const PUBLISHED_AFTER_MS = 50;
const CONTACT_MS = 3_000;
const DRAIN_MS = 2_000;
/** Kept connections of clients at each host that stays. */
const CONNECTIONS = 10;
const RELEASES = 3;
const LEAVING_TENANTS = 3;
/** Rate and burst of each of these, and what they send usually, over all machines; the first one sends four times that. */
const RATE_PER_SECOND = 48;
const BURST = 15;
const USUAL_PER_SECOND = RATE_PER_SECOND / 1.6;
const HOT_FACTOR = 4;

const configuration = (version, tenants) => ({
    ConfigVersion: version,
    Routes: ["catalogue", "accessions", "reading", "items"].map(service => ({
        Name: `r-${service}`,
        Host: `${service}.example`,
        PathPrefix: `/${service}/`,
        Kind: "unsafe",
        Timeout: "5000ms",
        Aim: "1200ms",
        Priority: 0,
        Service: service,
        RetryAttempts: 2,
        Public: false,
    })),
    Services: ["catalogue", "accessions", "reading", "items"].map(service => ({
        Name: service,
        HealthPath: "/health",
        MaxConns: 724,
        Protocol: "h1",
        Tls: false,
    })),
    Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 67_108_864, HeaderTimeout: "3000ms", IdleTimeout: "15000ms" },
    Tenants: tenants,
    BaseVersion: 5,
});
const staying = { Name: "archive", ApiKeys: ["key-of-the-archive"], Priority: 1, RatePerS: 0, Burst: 0 };

/** Tenants that the next configuration no longer has, all with their tokens at the same machine. */
function createLeavingTenants(addresses, holder) {
    const names = [];
    for (let number = 1; names.length < LEAVING_TENANTS; number++) {
        const name = `mission-${number}`;
        if (highestScoringNames(name, addresses, 1)[0] === holder) {
            names.push(name);
        }
    }
    return names.map(name => ({
        Name: name,
        ApiKeys: [`key-of-${name}`],
        Priority: 1,
        RatePerS: RATE_PER_SECOND,
        Burst: BURST,
    }));
}

const services = ["catalogue", "accessions", "reading", "items"];
const zones = ["khomas-a", "khomas-b", "khomas-c"];

await runCase(fileURLToPath(new URL("record.txt", import.meta.url)), async deployment => {
    const specify = index => ({
        name: `m${index}`,
        service: services[index % services.length],
        zone: zones[index % zones.length],
        target: { workMs: 300 },
    });
    const addresses = Array.from({ length: HOSTS }, (_, index) => `127.0.9.${index + 10}`);
    const frozenIndex = findFrozenIndex(addresses);
    const leaving = createLeavingTenants(addresses, addresses[frozenIndex]);
    await deployment.start(
        configuration(7, [staying, ...leaving]),
        Array.from({ length: HOSTS }, (_, index) => specify(index)),
    );
    const frozen = deployment.hosts[frozenIndex];
    const stayingHosts = deployment.hosts.slice(0, STAYING_HOSTS);
    const clients = { isOpen: true, isMissionOpen: true, sent: 0 };

    // Clients of the tenants that leave send to all machines but the one that is frozen.
    const mission = deployment.hosts
        .filter(entry => entry !== frozen)
        .flatMap(entry =>
            leaving.map(({ ApiKeys }, index) => {
                const perSecond = (index === 0 ? HOT_FACTOR : 1) * USUAL_PER_SECOND / (HOSTS - 1);
                return runMissionClient(deployment, entry, clients, ApiKeys[0], 1_000 / perSecond);
            })
        );
    await sleep(2_000);
    if (HAS_TROUBLE) {
        deployment.record("machine-frozen", { node: frozen.name });
        frozen.node.signal("SIGSTOP");
        await sleep(PUBLISHED_AFTER_MS);
    }
    const kept = HAS_TROUBLE ? [staying] : [staying, ...leaving];
    deployment.store.put("op/config", configuration(9, kept));
    deployment.record("configuration-acknowledged", { version: 9, tenants: kept.map(({ Name }) => Name) });
    await sleep(1_000);
    clients.isMissionOpen = false;
    await sleep(FREEZE_MS - PUBLISHED_AFTER_MS - 1_000);
    if (HAS_TROUBLE) {
        frozen.node.signal("SIGCONT");
        deployment.record("machine-goes-on", { node: frozen.name });
    }
    await Promise.all(mission);
    await sleep(CONTACT_MS + 1_000);

    // From here on there is only planned work: releases, each of which replaces half of the machines.
    const stayingClients = stayingHosts
        .filter(entry => entry !== frozen)
        .flatMap(entry => Array.from({ length: CONNECTIONS }, () => runArchiveClient(deployment, entry, clients)));
    let leavers = deployment.hosts.slice(STAYING_HOSTS);
    const replaced = [];
    for (let round = 0; round < RELEASES; round++) {
        const joined = [];
        for (const old of leavers) {
            const index = deployment.hosts.length;
            const entry = await deployment.addHost(`127.0.9.${index + 10}`, {
                ...specify(index),
                service: old.service,
            });
            deployment.record("target-joins", { target: entry.name, service: entry.service });
            joined.push(entry);
            replaced.push(replace(deployment, old, entry));
            await sleep(1_500);
        }
        leavers = joined;
        await Promise.all(replaced);
    }
    await sleep(1_000);
    clients.isOpen = false;
    const ended = stayingHosts.filter(({ node }) => node.ended).map(({ name, node }) => ({ name, ...node.ended }));
    deployment.record("processes-ended-by-themselves", ended);
    await Promise.all(stayingClients);
    return findProblems(deployment, ended);
});

/** A machine that stays, and from which no other machine learns what the store holds: the last one of its zone. */
function findFrozenIndex(addresses) {
    const inZone = addresses.filter((_, index) => index % zones.length === 0);
    const order = highestScoringNames("published-state", inZone, inZone.length).reverse();
    return addresses.indexOf(order.find(address => addresses.indexOf(address) < STAYING_HOSTS));
}

async function replace(deployment, old, entry) {
    await waitFor(async () => await entry.node.readiness() === 200, 15_000, `${entry.name} is ready`);
    await sleep(300);
    old.target.drain();
    deployment.record("target-draining", { target: old.name });
    await sleep(DRAIN_MS + 500);
    await old.target.leave();
    deployment.record("target-left", { target: old.name });
    if (!old.node.ended) {
        old.node.signal("SIGTERM");
        await old.node.exited;
    }
}

/** Client of a tenant that leaves: a request at random times, on a kept connection. */
async function runMissionClient(deployment, entry, clients, key, intervalMs) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (clients.isMissionOpen) {
        const id = `mission-${entry.name}-${++clients.sent}`;
        await sendOnce(deployment, entry, agent, id, "catalogue", key);
        await sleep(Math.random() * 2 * intervalMs);
    }
    agent.destroy();
}

/** Client that sends one request after the other on a kept connection, until that is closed. */
async function runArchiveClient(deployment, entry, clients) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (clients.isOpen) {
        const service = services[clients.sent % services.length];
        const id = `archive-${entry.name}-${++clients.sent}`;
        const result = await sendOnce(deployment, entry, agent, id, service, "key-of-the-archive");
        if (result.status !== 200) {
            deployment.results.push({ ...result, node: entry.name });
            await sleep(100);
        }
        if (result.error !== undefined) {
            break;
        }
    }
    agent.destroy();
}

function sendOnce(deployment, entry, agent, id, service, key) {
    return new Promise(settle => {
        let isKept = false;
        const resolve = result => {
            deployment.record("client-answered", { ...result, node: entry.name });
            settle(result);
        };
        deployment.record("client-sends", { id, to: entry.name });
        const outgoing = sendRequest({
            host: entry.host,
            port: deployment.ports.outbound,
            method: "POST",
            path: `/${service}/one`,
            agent,
            headers: {
                "Host": `${service}.example`,
                "Radishrouter-Attempt-Id": id,
                "Radishrouter-Deadline-Ms": "5000",
                "Api-Key": key,
                "Content-Length": "4",
            },
        });
        outgoing.on("socket", () => isKept = outgoing.reusedSocket);
        outgoing.on("error", error => resolve({ id, isKept, error: error.message }));
        outgoing.on("response", response => {
            response.on("data", () => undefined);
            response.on("aborted", () => resolve({ id, isKept, error: "the answer broke off" }));
            response.on("end", () => resolve({ id, isKept, status: response.statusCode }));
        });
        outgoing.end("body");
    });
}

/** Machines that closed more than three kept connections without an answer to a request that a target ran. */
function findProblems(deployment, ended) {
    const lost = new Map();
    for (const { id, node, isKept, error } of deployment.results) {
        if (isKept && error !== undefined && deployment.runsOf(id).length > 0) {
            lost.set(node, [...lost.get(node) ?? [], id]);
        }
    }
    return [...lost]
        .filter(([, ids]) => ids.length > 3)
        .map(([node, ids]) => {
            const end = ended.find(({ name }) => name === node);
            return `LOST: ${node} passed ${ids.length} requests of kept connections on to targets that ran them, and ` +
                `closed the connections without an answer; its process ended with code ${end?.code}`;
        });
}
