import assert from "node:assert/strict";
import { test } from "node:test";
import type { ControlTransport } from "../connection/control-transport.js";
import { ManualClock } from "../process/clock.js";
import type { HostStatus } from "../process/host-status.js";
import { MembershipGossip } from "../process/membership-gossip.js";

const STATUS_COUNT = 1_201;

test("a new process is sent all statuses, in messages of bounded size", () => {
    const received: number[] = [];
    const transport = {
        send: (_host: string, message: Parameters<ControlTransport["send"]>[1]) => {
            assert.ok(message.case === "hostUpdates");
            received.push(message.value.updates.length);
        },
    } as unknown as ControlTransport;
    const gossip = MembershipGossip.create({ clock: ManualClock.create(), transport, neighbours: () => [] });
    const statuses = Array.from({ length: STATUS_COUNT }, (_, number): HostStatus => ({
        host: `host-${number}`,
        incarnation: 1n,
        revision: 0,
        state: "failed",
    }));
    gossip.send("host-new", statuses);
    assert.equal(received.reduce((sum, count) => sum + count, 0), STATUS_COUNT);
    assert.ok(Math.max(...received) <= 500, `${received}`);
});
