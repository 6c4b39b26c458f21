/**
 * Load process of the `overhead` scenario: sends open-loop requests over several paths in turn and measures latency from
 * the scheduled send time.
 */
import { build } from "hdr-histogram-js";
import { setImmediate as nextEventLoopIteration } from "node:timers/promises";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Pool } from "undici";
import { overheadPlanSchema } from "./overhead-plan.js";
import type { OverheadPath, OverheadPlan, OverheadResult } from "./overhead-plan.js";

const WARM_UP_REQUESTS = 2_000;
const WARM_UP_CONCURRENCY = 4;
const MICROSECONDS_PER_MS = 1_000;

/** Sends requests over one path and records their latency. */
class PathMeter {
    private readonly pool: Pool;
    private readonly histogram = build({ numberOfSignificantValueDigits: 3 });
    private failed = 0;
    private readonly open = new Set<Promise<void>>();

    constructor(private readonly path: OverheadPath, plan: OverheadPlan) {
        this.pool = new Pool(path.url, {
            connections: plan.saturationRequests,
            connect: { localAddress: plan.localAddress },
        });
    }

    /** Starts one request without waiting for the response; latency counts from its scheduled time. */
    startRequest(dueMs: number): void {
        const sent = this.send().then(isCompleted => {
            this.failed += isCompleted ? 0 : 1;
            const elapsedMs = Math.max(0, performance.now() - dueMs);
            this.histogram.recordValue(Math.max(1, Math.round(elapsedMs * MICROSECONDS_PER_MS)));
            this.open.delete(sent);
        });
        this.open.add(sent);
    }

    /** Waits until no request is in flight. */
    async drain(): Promise<void> {
        await Promise.all(this.open);
    }

    /** Keeps a constant number of requests in flight and returns the successful responses per second. */
    async saturate(concurrency: number, durationMs: number, maximumRequests = Infinity): Promise<number> {
        const startMs = performance.now();
        let completed = 0;
        await Promise.all(Array.from({ length: concurrency }, async () => {
            while (performance.now() - startMs < durationMs && completed < maximumRequests) {
                if (await this.send()) {
                    completed++;
                }
            }
        }));
        return completed * 1_000 / (performance.now() - startMs);
    }

    result(saturationPerSecond: number): OverheadResult {
        return {
            path: this.path.name,
            p50Ms: this.histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
            p99Ms: this.histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
            requests: this.histogram.totalCount,
            failed: this.failed,
            saturationPerSecond: Math.round(saturationPerSecond),
        };
    }

    private async send(): Promise<boolean> {
        const { target, headers } = this.path;
        const response = await this.pool.request({ method: "GET", path: target, headers });
        await response.body.dump();
        return response.statusCode === 200;
    }
}

/** Sends requests with Poisson arrivals over one path for one time slice. */
async function runSlice(meter: PathMeter, plan: OverheadPlan, random: () => number): Promise<void> {
    const endMs = performance.now() + plan.sliceMs;
    let dueMs = performance.now();
    while (dueMs < endMs) {
        dueMs += -Math.log(1 - random()) * 1_000 / plan.ratePerSecond;
        while (performance.now() < dueMs) {
            await nextEventLoopIteration();
        }
        meter.startRequest(dueMs);
    }
    await meter.drain();
}

async function main(): Promise<void> {
    const plan = overheadPlanSchema.parse(JSON.parse(process.argv[2] ?? "{}"));
    const generator = xoroshiro128plus(plan.seed);
    const meters = plan.paths.map(path => new PathMeter(path, plan));
    process.stdout.write("ready\n");
    for (const meter of meters) {
        await meter.saturate(WARM_UP_CONCURRENCY, Infinity, WARM_UP_REQUESTS);
    }
    for (let round = 0; round < plan.rounds; round++) {
        for (const meter of meters) {
            await runSlice(meter, plan, () => uniformFloat64(generator));
        }
    }
    for (const meter of meters) {
        const saturation = await meter.saturate(plan.saturationRequests, plan.saturationMs);
        process.stdout.write(`${JSON.stringify(meter.result(saturation))}\n`);
    }
    process.exit(0);
}

await main();
