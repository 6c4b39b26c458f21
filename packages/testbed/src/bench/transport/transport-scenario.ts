/**
 * What carrying one request costs over each transport, between two processes in one run.
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
import { echoPorts } from "./echo-ports.js";

const FIRST_PORT = 9_400;
/** Rounds in which each carrier has its turn; the first is not recorded. */
const ROUNDS = 5;
const REQUESTS_PER_ROUND = 800;
const CALLERS = 4;
const PAYLOAD_BYTES = 512;
const MICROSECONDS_PER_MS = 1_000;

type Exchange = () => Promise<unknown>;

/** One way to carry a request. */
interface Carrier {
    readonly name: string;
    readonly exchange: Exchange;
}

async function runRound(exchange: Exchange, record: (durationMs: number) => void): Promise<void> {
    const caller = async () => {
        for (let sent = 0; sent < REQUESTS_PER_ROUND / CALLERS; sent++) {
            const startMs = performance.now();
            await exchange();
            record(performance.now() - startMs);
        }
    };
    await Promise.all(Array.from({ length: CALLERS }, caller));
}

/** Median time of one exchange by each carrier, in milliseconds. */
async function measure(carriers: readonly Carrier[]): Promise<Map<string, number>> {
    const histograms = new Map(carriers.map(({ name }) => [name, createHistogram()]));
    for (let round = 0; round < ROUNDS; round++) {
        for (const { name, exchange } of carriers) {
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

function createCarriers(address: string): { carriers: Carrier[]; close: () => Promise<void>; } {
    const payload = Buffer.alloc(PAYLOAD_BYTES, "a");
    const urlOf = (offset: number) => `http://${address}:${FIRST_PORT + offset}`;
    const pools = [echoPorts.plain, echoPorts.express].map(offset => new Pool(urlOf(offset), { connections: CALLERS }));
    const post = (pool: Pool): Exchange => async () => {
        const answer = await pool.request({ method: "POST", path: "/echo", body: payload });
        await answer.body.dump();
    };
    const transport = createConnectTransport({ baseUrl: urlOf(echoPorts.connect), httpVersion: "2" });
    const client = createClient(ControlService, transport);
    const batch = create(ControlBatchSchema, { sender: "bench", proof: payload });
    async function* once(): AsyncGenerator<ControlBatch> {
        yield batch;
    }
    const openStream: Exchange = async () => {
        for await (const _answer of client.exchange(once())) {
            // The answer is read to its end.
        }
    };
    return {
        carriers: [
            { name: "undici_node_http", exchange: post(pools[0]!) },
            { name: "undici_express", exchange: post(pools[1]!) },
            { name: "connect_stream_each", exchange: openStream },
        ],
        close: async () => {
            await Promise.all(pools.map(pool => pool.close()));
        },
    };
}

/** Compares what carries requests between nodes. */
export const transportScenario: Scenario = {
    name: "transport",
    description: "median time of one exchange by undici to node:http and express, and by a connect-es stream for each",
    async run(): Promise<Measures> {
        const address = FleetAddresses.create(process.pid).platform;
        const script = fileURLToPath(new URL("echo-server.js", import.meta.url));
        const server = Child.create("echo servers", script, [address, String(FIRST_PORT)]);
        await server.ready;
        const { carriers, close } = createCarriers(address);
        const medians = await measure(carriers);
        await close();
        await server.kill();
        const baseline = medians.get("undici_node_http")!;
        return Object.fromEntries([...medians].flatMap(([name, median]) => [
            [`${name}_median_ms`, median],
            [`${name}_to_node_http_ratio`, median / baseline],
        ]));
    },
};
