import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { Socket } from "node:net";
import { beforeEach, test } from "node:test";
import { ResponseLimits } from "../connection/response-limits.js";
import type { IncompleteResponse } from "../connection/response-limits.js";

/** Bytes outside response bodies that a connection may send. */
const MAXIMUM_FRAMING_BYTES = 256 * 1024;

/** Connection whose input the test delivers. */
class FakeSocket extends EventEmitter {
    bytesRead = 0;
    isDestroyed = false;

    destroy(): void {
        this.isDestroyed = true;
    }

    /** Delivers bytes that belong to no body. */
    deliver(bytes: number): void {
        this.bytesRead += bytes;
        this.emit("readable");
    }
}

let limits: ResponseLimits;

beforeEach(() => {
    limits = ResponseLimits.create();
});

function watchNew(): FakeSocket {
    const socket = new FakeSocket();
    limits.watch(socket as unknown as Socket);
    return socket;
}

function createResponse(receivedBytes: number): IncompleteResponse {
    return { receivedBytes, abort: () => undefined };
}

test("a response that is given up does not reset the count of the connection that was read last", () => {
    const [flooding, other] = [watchNew(), watchNew()];
    other.deliver(100);
    const givenUp = createResponse(10);
    limits.addBody(givenUp, 10);
    let delivered = 0;
    while (!flooding.isDestroyed && delivered < 4 * MAXIMUM_FRAMING_BYTES) {
        flooding.deliver(MAXIMUM_FRAMING_BYTES / 2);
        delivered += MAXIMUM_FRAMING_BYTES / 2;
        limits.abandon(givenUp);
    }
    // The bytes of a read are counted at the next one.
    assert.ok(flooding.isDestroyed && delivered <= 2 * MAXIMUM_FRAMING_BYTES, `${delivered} bytes`);
});

test("a complete response resets the count of its own connection", () => {
    const [first, second] = [watchNew(), watchNew()];
    first.deliver(100);
    const response = createResponse(10);
    limits.addBody(response, 10);
    second.deliver(MAXIMUM_FRAMING_BYTES);
    limits.complete(response);
    second.deliver(MAXIMUM_FRAMING_BYTES);
    second.deliver(1);
    assert.equal(second.isDestroyed, true);
    assert.equal(first.isDestroyed, false);
});
