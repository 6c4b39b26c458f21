import assert from "node:assert/strict";
import { test } from "node:test";
import { CollectedBody } from "../connection/collected-body.js";

test("a body is complete and in order, whatever the sizes of its chunks", () => {
    const sizes = [1, 3, 5_000, 2, 4_095, 4_096, 70_000, 7, ...Array.from({ length: 40 }, () => 3_000)];
    const chunks = sizes.map((size, index) => Buffer.alloc(size, index + 1));
    const body = CollectedBody.create();
    chunks.forEach(chunk => body.add(chunk));
    assert.equal(body.length, Buffer.concat(chunks).length);
    assert.deepEqual(body.toBuffer(), Buffer.concat(chunks));
});

test("a body of one small chunk is that chunk", () => {
    const body = CollectedBody.create();
    body.add(Buffer.from("small"));
    assert.equal(body.toBuffer().toString(), "small");
});

test("a body without chunks is empty", () => {
    assert.equal(CollectedBody.create().toBuffer().length, 0);
});

test("many tiny chunks take about as much memory as their bytes", () => {
    const CHUNK_COUNT = 1_000_000;
    const body = CollectedBody.create();
    const chunk = Buffer.from("tiny!");
    const before = process.memoryUsage();
    for (let count = 0; count < CHUNK_COUNT; count++) {
        body.add(chunk);
    }
    const after = process.memoryUsage();
    const grownBytes = after.heapUsed + after.arrayBuffers - before.heapUsed - before.arrayBuffers;
    assert.equal(body.length, CHUNK_COUNT * chunk.length);
    assert.ok(grownBytes < 4 * CHUNK_COUNT * chunk.length, `${grownBytes} bytes`);
});
