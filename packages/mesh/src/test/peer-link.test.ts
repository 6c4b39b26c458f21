import { SystemClock } from "@radishrouter/core";
import assert from "node:assert/strict";
import { createServer } from "node:net";
import type { AddressInfo, Server } from "node:net";
import { test } from "node:test";
import { MessageSocket, PeerLink } from "../index.js";
import type { ForwardedRequest, LinkMessage, NodeState } from "../index.js";

const LARGE_BODY_BYTES = 48 * 1_048_576;

const state: NodeState = {
    load: { open: 1, waiting: 2, limit: 3 },
    onwardPressure: 0.5,
    rateShare: 1,
    leaving: undefined,
    isStopping: false,
    clockMs: 4_000,
};

const request: ForwardedRequest = {
    content: {
        id: "one",
        method: "POST",
        target: "/lodge/",
        headers: ["X-Own", "kept"],
        body: Buffer.from("body"),
        routeName: "lodge",
        priority: 0,
        isOnwardCall: false,
    },
    service: "accessions",
    instance: "i-1",
    remainingMs: 1_000,
    answerInMs: 500,
};

/** A peer that replies to the ping that opens a link; the test handles all further messages. */
async function createPeer(handle: (message: LinkMessage, reply: (message: LinkMessage) => void) => void) {
    const server: Server = createServer(socket => {
        let isOpen = false;
        const messages = MessageSocket.create(socket, {
            onMessage: message => {
                if (!isOpen) {
                    isOpen = true;
                    messages.send({ kind: "state", state });
                    return;
                }
                handle(message, reply => messages.send(reply));
            },
            onClosed: () => undefined,
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return { server, port: (server.address() as AddressInfo).port };
}

function openLink(port: number, onUnavailable: (cause: string) => void = () => undefined): PeerLink {
    return PeerLink.create({
        clock: SystemClock.create(),
        address: "127.0.0.1",
        port,
        onState: () => undefined,
        onDoubtful: () => undefined,
        onUnavailable,
    });
}

test("a forwarded request arrives unchanged, and its outcome is returned with the state of the peer", async () => {
    let receivedRequest: ForwardedRequest | undefined;
    const { server, port } = await createPeer((message, reply) => {
        if (message.kind === "request") {
            receivedRequest = message.request;
            const outcome = { kind: "answered", status: 200, headers: ["A", "b"], body: Buffer.from("ok") } as const;
            reply({ kind: "outcome", number: message.number, outcome, state });
        }
    });
    const link = openLink(port);
    const result = await link.forward(request, true).result;
    const receivedContent = { ...receivedRequest?.content, body: receivedRequest?.content.body?.toString() };
    assert.deepEqual({ ...receivedRequest, content: receivedContent }, {
        ...request,
        content: { ...request.content, body: "body" },
    });
    assert.ok(result.kind === "answered" && result.answer.outcome.kind === "answered");
    assert.equal(result.answer.outcome.body.toString(), "ok");
    assert.deepEqual(result.answer.state, state);
    link.destroy();
    server.close();
});

test("when a peer stops responding, retryable requests are abandoned and the others stay pending", async () => {
    const { server, port } = await createPeer(() => undefined);
    const causes: string[] = [];
    const link = openLink(port, cause => causes.push(cause));
    let hasEnded = false;
    const waiting = link.forward(request, false);
    void waiting.result.then(() => hasEnded = true);
    const result = await link.forward(request, true).result;
    assert.deepEqual(result, { kind: "lost", sent: true, isUnresponsive: true });
    assert.deepEqual(causes, ["silent"]);
    assert.equal(hasEnded, false);
    waiting.cancel();
    assert.equal((await waiting.result).kind, "lost");
    server.close();
});

test("abandoned requests are cancelled at an unresponsive peer, so that it does not run them later", async () => {
    const kinds: string[] = [];
    const { server, port } = await createPeer(message => kinds.push(message.kind));
    const link = openLink(port);
    const waiting = link.forward(request, false);
    await link.forward(request, true).result;
    while (!kinds.includes("cancel")) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    assert.deepEqual(kinds.filter(kind => kind !== "ping"), ["request", "request", "cancel"]);
    waiting.cancel();
    server.close();
});

test("a peer that runs a long request and replies to pings is not unresponsive", async () => {
    const { server, port } = await createPeer((message, reply) => {
        switch (message.kind) {
            case "ping":
                reply({ kind: "state", state });
                return;
            case "request":
                setTimeout(() => {
                    const outcome = { kind: "unknown", reason: "timeout", detail: "" } as const;
                    reply({ kind: "outcome", number: message.number, outcome, state });
                }, 1_500);
                return;
            default:
                return;
        }
    });
    const link = openLink(port);
    const result = await link.forward(request, true).result;
    assert.equal(result.kind, "answered");
    link.destroy();
    server.close();
});

test("a request on a link that cannot be opened counts as not sent, one on a link that breaks as possibly sent", async () => {
    const refused = await openLink(1).forward(request, true).result;
    assert.deepEqual(refused, { kind: "lost", sent: false, isUnresponsive: false });
    const { server, port } = await createPeer(message => {
        if (message.kind === "request") {
            broken.destroy();
        }
    });
    const broken = openLink(port);
    const lost = await broken.forward(request, true).result;
    assert.deepEqual(lost, { kind: "lost", sent: true, isUnresponsive: false });
    server.close();
});

test("the cancellation of a request is sent to the peer", async () => {
    const kinds: string[] = [];
    const cancelled = new Promise<void>(resolve => {
        void createPeer(message => {
            kinds.push(message.kind);
            if (message.kind === "cancel") {
                resolve();
            }
        }).then(({ server, port }) => {
            const link = openLink(port);
            const forward = link.forward(request, true);
            setTimeout(() => forward.cancel(), 50);
            void forward.result.then(() => cancelled).then(() => {
                link.destroy();
                server.close();
            });
        });
    });
    await cancelled;
    assert.deepEqual(kinds.filter(kind => kind !== "ping"), ["request", "cancel"]);
});

test("a request on a connection that the peer's host accepted but its process does not read is not sent", async () => {
    const kinds: string[] = [];
    const server = createServer(socket => {
        MessageSocket.create(socket, { onMessage: message => kinds.push(message.kind), onClosed: () => undefined });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const causes: string[] = [];
    const link = openLink((server.address() as AddressInfo).port, cause => causes.push(cause));
    const result = await link.forward(request, false).result;
    assert.deepEqual(result, { kind: "lost", sent: false, isUnresponsive: false });
    assert.deepEqual(causes, ["unreachable"]);
    assert.deepEqual(kinds, ["ping"]);
    server.close();
});

test("a request that is cancelled before its link is open is never sent", async () => {
    const kinds: string[] = [];
    const { server, port } = await createPeer(message => kinds.push(message.kind));
    const link = openLink(port);
    const cancelled = link.forward(request, true);
    cancelled.cancel();
    assert.deepEqual(await cancelled.result, { kind: "lost", sent: false, isUnresponsive: false });
    const other = link.forward({ ...request, instance: "i-2" }, true);
    while (!kinds.includes("request")) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    assert.deepEqual(kinds.filter(kind => kind !== "ping"), ["request"]);
    other.cancel();
    link.destroy();
    server.close();
});

test("messages behind a large body wait for it and do not cost the link", async () => {
    const { server, port } = await createPeer((message, reply) => {
        if (message.kind === "request") {
            const headers = [String(message.request.content.body?.length)];
            const outcome = { kind: "answered", status: 200, headers, body: Buffer.alloc(0) } as const;
            reply({ kind: "outcome", number: message.number, outcome, state });
        }
    });
    const link = openLink(port);
    await link.forward(request, false).result;
    const large = { ...request, content: { ...request.content, body: Buffer.alloc(LARGE_BODY_BYTES) } };
    const forwards = [link.forward(large, false)];
    for (let count = 0; count < 3; count++) {
        await new Promise(resolve => setImmediate(resolve));
        forwards.push(link.forward(request, false));
    }
    const results = await Promise.all(forwards.map(({ result }) => result));
    const lengths = results.map(result =>
        result.kind === "answered" && result.answer.outcome.kind === "answered" ?
            result.answer.outcome.headers[0] :
            "lost"
    );
    assert.deepEqual(lengths, [String(LARGE_BODY_BYTES), "4", "4", "4"]);
    link.destroy();
    server.close();
});

test("a request carries the time at which it was sent, on the peer's clock", async () => {
    const sentAt: number[] = [];
    const { server, port } = await createPeer(message => {
        if (message.kind === "request") {
            sentAt.push(message.sentAtMs);
        }
    });
    const link = openLink(port);
    const waiting = link.forward(request, true);
    while (sentAt.length === 0) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    assert.ok(sentAt[0]! <= state.clockMs, `${sentAt[0]}`);
    waiting.cancel();
    link.destroy();
    server.close();
});
