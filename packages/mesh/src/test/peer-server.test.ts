import assert from "node:assert/strict";
import { connect } from "node:net";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, test } from "node:test";
import { PeerServer } from "../connection/peer-server.js";
import { MessageSocket, OrganisationQuota, RequestLog } from "../index.js";
import type { ForwardedRequest, LinkMessage } from "../index.js";
import { LifeCycle } from "../process/life-cycle.js";
import { ServerRig, until } from "./server-rig.js";

const LATE_MS = 600;
/** Time for which a late request waits for its cancellation. */
const CANCELLATION_WAIT_MS = 25;

const request: ForwardedRequest = {
    content: {
        id: "late",
        method: "GET",
        target: "/search/",
        headers: ["x-attempt", "late"],
        body: undefined,
        routeName: "search",
        priority: 0,
        isOnwardCall: false,
    },
    service: "catalogue",
    instance: "",
    remainingMs: 60_000,
    answerInMs: 60_000,
};

let rig: ServerRig;
let peerServer: PeerServer;
let peer: MessageSocket;
let received: LinkMessage[];

beforeEach(async () => {
    rig = await ServerRig.create();
    const { clock, backlog, client, gate, onwardPressure } = rig;
    peerServer = PeerServer.create({
        clock,
        backlog,
        server: client,
        gate,
        onwardPressure,
        quota: OrganisationQuota.create(clock, "127.0.0.1", () => ["127.0.0.1"], 2_000),
        lifeCycle: LifeCycle.create(),
        log: RequestLog.create(clock, { host: "a", decisionLinesPerSecond: 0, successSampleInterval: 1 }),
    });
    await new Promise<void>(resolve => peerServer.listener.listen(0, "127.0.0.1", resolve));
    received = [];
    peer = MessageSocket.create(connect((peerServer.listener.address() as AddressInfo).port, "127.0.0.1"), {
        onMessage: message => received.push(message),
        onClosed: () => undefined,
    });
});

afterEach(async () => {
    peer.destroy();
    peerServer.closeLinks();
    peerServer.listener.close();
    await rig.close();
});

/** Sends a late request, and waits until it has been read and its wait for a cancellation is over. */
async function sendLate(): Promise<void> {
    peer.send({ kind: "request", number: 1, sentAtMs: rig.clock.nowMs() - LATE_MS, request });
    await untilRead();
    rig.clock.advance(CANCELLATION_WAIT_MS);
}

/** Waits until the node has read all that was sent to it. */
async function untilRead(): Promise<void> {
    const count = received.length;
    peer.send({ kind: "ping" });
    await until(() => received.length > count);
}

test("a late request waits until its cancellation has been read, also when its timer comes first", async () => {
    await sendLate();
    await rig.endTurn();
    peer.send({ kind: "cancel", number: 1 });
    await untilRead();
    await rig.endTurn();
    await rig.untilSomethingElseIsSeen();
    assert.deepEqual(rig.seen, ["something-else"]);
});

test("a late request that is not cancelled runs", async () => {
    await sendLate();
    await rig.endTurn();
    await rig.endTurn();
    await until(() => rig.seen.includes("late"));
    rig.answerLast();
    await until(() => received.some(({ kind }) => kind === "outcome"));
});
