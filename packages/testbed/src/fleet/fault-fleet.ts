/**
 * A small fleet for tests and benches of faults: one host where requests enter and some that run them.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { createExampleConfiguration } from "./example-configuration.js";
import { Fleet } from "./fleet.js";
import { findContradictions, RecordingCaller, waitForLogs } from "./recording-caller.js";
import type { SendOptions, SendRecord } from "./recording-caller.js";
import { waitFor } from "./wait-for.js";

/** What a fleet for faults can differ in. */
export interface FaultFleetOptions {
    /** Hosts of the service that runs the requests. */
    readonly servers: number;
    readonly behaviour?: { readonly serviceMs?: number; readonly answerBytes?: number; };
    readonly limits?: Record<string, number>;
    readonly deadlineMs?: number;
    readonly addressSeed?: number;
    readonly directBackends?: boolean;
}

/** Name of the host where requests enter. */
export const ENTRY = "entry";
const ORGANISATION = "archive";

/** A fleet, a caller with a valid key, and the checks of what the caller received. */
export class FaultFleet {
    readonly servers: readonly string[];

    private constructor(
        readonly fleet: Fleet,
        readonly caller: RecordingCaller,
        readonly key: string,
        serverCount: number,
    ) {
        this.servers = Array.from({ length: serverCount }, (_, index) => `server-${index}`);
    }

    /** Starts a fleet and resolves when every node has tokens for the caller. */
    static async create(options: FaultFleetOptions): Promise<FaultFleet> {
        const deadlineMs = options.deadlineMs ?? 8_000;
        const failureDomains = { "khomas-a": { region: "khomas", seats: options.servers + 1 } };
        const example = createExampleConfiguration({
            organisations: { [ORGANISATION]: { rate: 1_000_000, burst: 1_000_000 } },
            services: {
                front: {},
                back: {
                    routes: [
                        {
                            method: "GET",
                            path: "/read/*",
                            idempotent: true,
                            open: false,
                            importance: "normal",
                            deadlineMs,
                        },
                        {
                            method: "POST",
                            path: "/book/*",
                            idempotent: false,
                            open: false,
                            importance: "critical",
                            deadlineMs,
                        },
                    ],
                },
            },
            failureDomains,
        });
        const hosts = Array.from({ length: options.servers + 1 }, (_, seat) => ({
            name: seat === 0 ? ENTRY : `server-${seat - 1}`,
            service: seat === 0 ? "front" : "back",
            failureDomain: "khomas-a",
            region: "khomas",
            seat,
            behaviour: options.behaviour,
            limits: options.limits,
        }));
        const { configuration, keys } = example;
        const { addressSeed, directBackends } = options;
        const fleet = await Fleet.create({ hosts, configuration, proxied: true, addressSeed, directBackends });
        const caller = RecordingCaller.create(fleet.addresses.client);
        const faultFleet = new FaultFleet(fleet, caller, keys[ORGANISATION]!, options.servers);
        await Promise.all([...fleet.hosts.keys()].map(name => faultFleet.waitForRate(name)));
        return faultFleet;
    }

    /** Waits until a node has tokens for the caller. */
    async waitForRate(host: string): Promise<void> {
        await waitFor(async () => (await this.read(host, "warm")).result.kind === "answered", `${host} has tokens`);
    }

    /** Sends an idempotent request. */
    read(host: string, requestId: string, options: Partial<SendOptions> = {}): Promise<SendRecord> {
        const url = `${this.fleet.callerUrl(host)}/back/read/1`;
        return this.caller.sendWithinRate({ host, url, method: "GET", key: this.key, requestId, ...options });
    }

    /** Sends a non-idempotent request. */
    book(host: string, requestId: string, options: Partial<SendOptions> = {}): Promise<SendRecord> {
        const url = `${this.fleet.callerUrl(host)}/back/book/1`;
        return this.caller.sendWithinRate({ host, url, method: "POST", key: this.key, requestId, ...options });
    }

    /** Sends reads and bookings at a steady pace until stopped; resolves when the last has ended. */
    startTraffic(options: { hosts: readonly string[]; intervalMs: number; prefix: string; }): () => Promise<void> {
        const open: Promise<SendRecord>[] = [];
        let isRunning = true;
        const task = (async () => {
            for (let number = 0; isRunning; number++) {
                const host = options.hosts[number % options.hosts.length]!;
                const requestId = `${options.prefix}-${number}`;
                open.push(number % 3 === 0 ? this.book(host, requestId) : this.read(host, requestId));
                await sleep(options.intervalMs);
            }
        })();
        return async () => {
            isRunning = false;
            await task;
            await Promise.all(open);
        };
    }

    /** Contradictions between what the caller received and what the backend servers ran. */
    async findContradictions(): Promise<string[]> {
        const sends = this.caller.records.filter(send => send.requestId !== "warm");
        await waitForLogs(this.fleet, sends);
        return findContradictions(sends, this.fleet.runRecords());
    }

    /** Ends all processes. */
    async stop(): Promise<void> {
        await this.caller.close();
        await this.fleet.stop();
    }
}
