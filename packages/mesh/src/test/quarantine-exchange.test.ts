import { ManualClock } from "@radishrouter/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { QuarantineExchange } from "../process/quarantine-exchange.js";
import { createSilentLog } from "./relay-dependencies.js";

const LONG_MS = 120_000;
const END = { id: "10.0.0.1/a/1", suspects: ["a"], cleared: [], tried: undefined, ageMs: 0, idleMs: 0 };

function createExchange() {
    const clock = ManualClock.create();
    const hosts = ["10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5"];
    const told: string[] = [];
    const exchange = QuarantineExchange.create({
        clock,
        log: createSilentLog(clock),
        hostAddress: "10.0.0.1",
        service: "catalogue",
        siblingServices: () => [],
        hostsOf: () => hosts,
        allHosts: () => hosts,
        send: address => void told.push(address),
    });
    const unlist = (address: string) => void hosts.splice(hosts.indexOf(address), 1);
    return { clock, exchange, hosts, told, unlist };
}

test("a node whose server is not listed for a moment, because it ended, is told of ends", () => {
    const { exchange, told, unlist } = createExchange();
    unlist("10.0.0.2");
    exchange.recordUnlisted("catalogue", "10.0.0.2");
    exchange.recordEnd(END);
    assert.deepEqual(told.sort(), ["10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5"]);
});

test("a node whose server has left is not told of ends for ever, nor twice once it is listed again", () => {
    const { clock, exchange, hosts, told, unlist } = createExchange();
    unlist("10.0.0.2");
    unlist("10.0.0.3");
    exchange.recordUnlisted("catalogue", "10.0.0.2");
    exchange.recordUnlisted("catalogue", "10.0.0.3");
    hosts.push("10.0.0.2");
    clock.advance(LONG_MS);
    exchange.recordEnd(END);
    assert.deepEqual(told.sort(), ["10.0.0.2", "10.0.0.4", "10.0.0.5"]);
});
