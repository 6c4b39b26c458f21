/**
 * The `transport` scenario: time of one exchange over each transport, between two processes in one run.
 */
import { create } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { ControlBatchSchema, ControlService } from "@radishrouter/protocol";
import type { ControlBatch } from "@radishrouter/protocol";
import { build as createHistogram } from "hdr-histogram-js";
import { fileURLToPath } from "node:url";
import { Pool } from "undici";
import { FleetAddresses } from "../../fleet/addresses.js";
import { Child } from "../../fleet/child.js";
import type { Measures, Scenario } from "../scenario.js";
import { echoPortOffsets } from "./echo-ports.js";

const FIRST_PORT = 9_400;
/** Rounds, each of which measures every transport; the first is a warm-up and isn't recorded. */
const ROUNDS = 5;
const REQUESTS_PER_ROUND = 800;
const CONCURRENT_CALLERS = 4;
const PAYLOAD_BYTES = 512;
const MICROSECONDS_PER_MS = 1_000;

type Exchange = () => Promise<unknown>;

/** One transport to measure. */
interface TransportVariant {
    readonly name: string;
    readonly exchange: Exchange;
}

async function runRound(exchange: Exchange, record: (durationMs: number) => void): Promise<void> {
    const caller = async () => {
        for (let sent = 0; sent < REQUESTS_PER_ROUND / CONCURRENT_CALLERS; sent++) {
            const startMs = performance.now();
            await exchange();
            record(performance.now() - startMs);
        }
    };
    await Promise.all(Array.from({ length: CONCURRENT_CALLERS }, caller));
}

/** Median time of one exchange over each transport, in milliseconds. */
async function measureMedians(variants: readonly TransportVariant[]): Promise<Map<string, number>> {
    const histograms = new Map(variants.map(({ name }) => [name, createHistogram()]));
    for (let round = 0; round < ROUNDS; round++) {
        for (const { name, exchange } of variants) {
            await runRound(exchange, durationMs => {
                if (round > 0) {
                    histograms.get(name)!.recordValue(Math.round(durationMs * MICROSECONDS_PER_MS));
                }
            });
        }
        process.stderr.write(`transport: round ${round + 1} of ${ROUNDS}\n`);
    }
    return new Map(
        [...histograms].map(([name, histogram]) => [name, histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS]),
    );
}

function createTransportVariants(address: string): { variants: TransportVariant[]; close: () => Promise<void>; } {
    const payload = Buffer.alloc(PAYLOAD_BYTES, "a");
    const urlOf = (offset: number) => `http://${address}:${FIRST_PORT + offset}`;
    const pools = [echoPortOffsets.plain, echoPortOffsets.express].map(offset =>
        new Pool(urlOf(offset), { connections: CONCURRENT_CALLERS })
    );
    const post = (pool: Pool): Exchange => async () => {
        const response = await pool.request({ method: "POST", path: "/echo", body: payload });
        await response.body.dump();
    };
    const connectTransport = createConnectTransport({ baseUrl: urlOf(echoPortOffsets.connect), httpVersion: "2" });
    const client = createClient(ControlService, connectTransport);
    const batch = create(ControlBatchSchema, { sender: "bench", proof: payload });
    async function* singleBatch(): AsyncGenerator<ControlBatch> {
        yield batch;
    }
    const exchangeOverNewStream: Exchange = async () => {
        for await (const _response of client.exchange(singleBatch())) {
            // Reads the response stream to its end.
        }
    };
    return {
        variants: [
            { name: "undici_node_http", exchange: post(pools[0]!) },
            { name: "undici_express", exchange: post(pools[1]!) },
            { name: "connect_stream_each", exchange: exchangeOverNewStream },
        ],
        close: async () => {
            await Promise.all(pools.map(pool => pool.close()));
        },
    };
}

/** Compares transports for requests between nodes. */
export const transportScenario: Scenario = {
    name: "transport",
    description: "median time of one exchange by undici to node:http and express, and by a connect-es stream for each",
    async run(): Promise<Measures> {
        const address = FleetAddresses.create(process.pid).platform;
        const script = fileURLToPath(new URL("echo-server.js", import.meta.url));
        const server = Child.create("echo servers", script, [address, String(FIRST_PORT)]);
        await server.ready;
        const { variants, close } = createTransportVariants(address);
        const medians = await measureMedians(variants);
        await close();
        await server.kill();
        const baseline = medians.get("undici_node_http")!;
        return Object.fromEntries([...medians].flatMap(([name, median]) => [
            [`${name}_median_ms`, median],
            [`${name}_to_node_http_ratio`, median / baseline],
        ]));
    },
};
