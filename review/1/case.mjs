/**
 * A node that is stopped on its own gets a second SIGTERM, because the target beside it has ended meanwhile: the process
 * ends at once, and the requests that it has passed on to other targets are never answered.
 */
import { fileURLToPath } from "node:url";
import { send } from "../lib/client.mjs";
import { runCase, sleep } from "../lib/deployment.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
/** Time that a target works on each request. */
const WORK_MS = 1_500;
/** Time for which a target goes on serving after the store has accepted that it is draining. */
const DRAIN_MS = 2_000;
/** Time from the node's own SIGTERM until its target, which was draining before, has ended. */
const TARGET_ENDS_AFTER_MS = 1_000;
const REQUESTS = 20;

const configuration = {
    ConfigVersion: 7,
    Routes: [{
        Name: "r-lodge",
        Host: "lodge.example",
        PathPrefix: "/lodge/",
        Kind: "unsafe",
        Timeout: "5000ms",
        Aim: "3000ms",
        Priority: 0,
        Service: "accessions",
        RetryAttempts: 2,
        Public: true,
    }],
    Services: [
        { Name: "accessions", HealthPath: "/health", MaxConns: 934, Protocol: "h1", Tls: false },
        { Name: "catalogue", HealthPath: "/health", MaxConns: 724, Protocol: "h1", Tls: false },
    ],
    Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 67_108_864, HeaderTimeout: "3000ms", IdleTimeout: "15000ms" },
    BaseVersion: 5,
};

await runCase(fileURLToPath(new URL("record.txt", import.meta.url)), async deployment => {
    await deployment.start(configuration, [
        { name: "a", service: "catalogue", zone: "khomas-a" },
        { name: "b", service: "accessions", zone: "khomas-a", target: { workMs: WORK_MS } },
        { name: "c", service: "accessions", zone: "khomas-b", target: { workMs: WORK_MS } },
    ]);
    const [first] = deployment.hosts;
    const lodge = async id => {
        deployment.record("client-sends", { id, to: first.name });
        deployment.recordResult(
            await send({
                host: first.host,
                port: deployment.ports.outbound,
                path: "/lodge/record",
                hostName: "lodge.example",
                id,
                body: `record ${id}`,
            }),
        );
    };
    await lodge("before");

    // The target beside the node is to leave, as planned.
    first.target.drain();
    deployment.record("target-draining", { target: first.name });
    await sleep(DRAIN_MS);

    // The node is stopped on its own, while the target beside it goes on for a moment.
    const stoppedAtMs = performance.now();
    first.node.signal("SIGTERM");
    deployment.record("node-gets-sigterm", { node: first.name, cause: "stopped on its own" });
    await sleep(200);
    const lodged = Array.from({ length: REQUESTS }, (_, index) => lodge(`lodge-${index}`));

    await sleep(TARGET_ENDS_AFTER_MS - 200);
    await first.target.leave();
    deployment.record("target-ended", { target: first.name });
    if (HAS_TROUBLE) {
        first.node.signal("SIGTERM");
        deployment.record("node-gets-sigterm", { node: first.name, cause: "its target has ended" });
    }
    const ended = await first.node.exited;
    deployment.record("node-ended", {
        node: first.name,
        ...ended,
        afterMs: Math.round(performance.now() - stoppedAtMs),
    });
    await Promise.all(lodged);
    return findProblems(deployment);
});

/** Requests that the node has passed on to a target, and whose connection ended without a complete answer. */
function findProblems(deployment) {
    return deployment.results
        .filter(({ id, status }) => status === undefined && deployment.runsOf(id).length > 0)
        .map(({ id, error }) =>
            `LOST: ${id} ran at ${deployment.runsOf(id)[0].instance}, and its client got: ${error}`
        );
}
