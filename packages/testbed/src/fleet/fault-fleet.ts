/**
 * A small fleet for fault-injection tests and benches: one entry host and some hosts that run the requests.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { createExampleConfiguration } from "./example-configuration.js";
import { Fleet } from "./fleet.js";
import { findContradictions, RecordingCaller, waitForRunRecords } from "./recording-caller.js";
import type { AttemptRecord, SendOptions } from "./recording-caller.js";
import { waitFor } from "./wait-for.js";

/** Options of a fault-injection fleet. */
export interface FaultFleetOptions {
    /** Number of hosts of the service that runs the requests. */
    readonly servers: number;
    readonly behaviour?: { readonly serviceMs?: number; readonly answerBytes?: number; };
    readonly limits?: Record<string, number>;
    readonly deadlineMs?: number;
    /** Requests per second, and burst, of the caller's organisation; unlimited when absent. */
    readonly rate?: number;
    readonly addressSeed?: number;
    readonly directBackends?: boolean;
}

/** Name of the host whose node receives the callers' requests. */
export const ENTRY = "entry";
const ORGANISATION = "archive";
const UNLIMITED_RATE = 1_000_000;

/** A fleet, a caller with a valid access key, and a check of the results that the caller received. */
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

    /** Starts a fleet and resolves when every node has rate tokens for the caller's organisation. */
    static async create(options: FaultFleetOptions): Promise<FaultFleet> {
        const deadlineMs = options.deadlineMs ?? 8_000;
        const rate = options.rate ?? UNLIMITED_RATE;
        const failureDomains = { "khomas-a": { region: "khomas", seats: options.servers + 1 } };
        const example = createExampleConfiguration({
            organisations: { [ORGANISATION]: { rate, burst: rate } },
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
        await Promise.all([...fleet.hosts.keys()].map(name => faultFleet.waitForTokens(name)));
        return faultFleet;
    }

    /** Waits until a node has rate tokens for the caller's organisation. */
    async waitForTokens(host: string): Promise<void> {
        await waitFor(async () => (await this.read(host, "warm")).result.kind === "answered", `${host} has tokens`);
    }

    /** Sends an idempotent request. */
    read(host: string, requestId: string, options: Partial<SendOptions> = {}): Promise<AttemptRecord> {
        const url = `${this.fleet.callerUrl(host)}/back/read/1`;
        return this.caller.sendWithinRate({ host, url, method: "GET", key: this.key, requestId, ...options });
    }

    /** Sends a non-idempotent request. */
    book(host: string, requestId: string, options: Partial<SendOptions> = {}): Promise<AttemptRecord> {
        const url = `${this.fleet.callerUrl(host)}/back/book/1`;
        return this.caller.sendWithinRate({ host, url, method: "POST", key: this.key, requestId, ...options });
    }

    /**
     * Sends reads and bookings at a fixed interval. The returned function stops sending and resolves when the last
     * request has ended.
     */
    startTraffic(options: { hosts: readonly string[]; intervalMs: number; prefix: string; }): () => Promise<void> {
        const pending: Promise<AttemptRecord>[] = [];
        let isRunning = true;
        const task = (async () => {
            for (let number = 0; isRunning; number++) {
                const host = options.hosts[number % options.hosts.length]!;
                const requestId = `${options.prefix}-${number}`;
                pending.push(number % 3 === 0 ? this.book(host, requestId) : this.read(host, requestId));
                await sleep(options.intervalMs);
            }
        })();
        return async () => {
            isRunning = false;
            await task;
            await Promise.all(pending);
        };
    }

    /** Lists contradictions between the results that the caller received and the backend servers' run records. */
    async findContradictions(): Promise<string[]> {
        const records = this.caller.records.filter(record => record.requestId !== "warm");
        await waitForRunRecords(this.fleet, records);
        return findContradictions(records, this.fleet.runRecords());
    }

    /** Ends all processes. */
    async stop(): Promise<void> {
        await this.caller.close();
        await this.fleet.stop();
    }
}
