/**
 * Process that generates open-loop load: each request is sent at its scheduled time, regardless of the outcome of earlier
 * requests.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Pool } from "undici";
import { z } from "zod";
import { loadPlanSchema } from "./load-plan.js";
import type { LoadFlow, LoadPlan, LoadResult } from "./load-plan.js";

const SCHEDULING_INTERVAL_MS = 2;
const DRAIN_MS = 500;

interface DueRequest {
    readonly flow: LoadFlow;
    readonly intendedMs: number;
    readonly id: string;
}

interface AttemptResult {
    readonly status: number;
    readonly code: number;
}

const problemSchema = z.object({ code: z.number() }).partial();

function parseResultCode(text: string): number {
    try {
        return problemSchema.parse(JSON.parse(text)).code ?? 0;
    }
    catch {
        return 0;
    }
}

function isCompleted({ status }: AttemptResult): boolean {
    return status >= 200 && status <= 299;
}

/** Generates Poisson arrivals for all flows, sorted by scheduled time. */
function scheduleRequests(plan: LoadPlan): DueRequest[] {
    const generator = xoroshiro128plus(plan.seed);
    const dueRequests: DueRequest[] = [];
    for (const flow of plan.flows) {
        let count = 0;
        for (const phase of flow.phases) {
            let timeMs = phase.startMs;
            while (phase.ratePerSecond > 0) {
                timeMs += -Math.log(1 - uniformFloat64(generator)) * 1000 / phase.ratePerSecond;
                if (timeMs >= phase.endMs) {
                    break;
                }
                dueRequests.push({ flow, intendedMs: timeMs, id: `${plan.seed}-${flow.name}-${count++}` });
            }
        }
    }
    return dueRequests.sort((left, right) => left.intendedMs - right.intendedMs);
}

/** Sends the requests of one plan. */
class LoadGenerator {
    private readonly pools: readonly Pool[];
    private nextPoolIndex: number;

    constructor(private readonly plan: LoadPlan) {
        const { connections, localAddress } = plan;
        this.pools = plan.urls.map(url => new Pool(url, { connections, connect: { localAddress } }));
        this.nextPoolIndex = plan.seed;
    }

    async run(): Promise<void> {
        const dueRequests = scheduleRequests(this.plan);
        const requestsInFlight: Promise<void>[] = [];
        let nextIndex = 0;
        while (nextIndex < dueRequests.length) {
            const nowMs = this.nowMs();
            while (nextIndex < dueRequests.length && dueRequests[nextIndex]!.intendedMs <= nowMs) {
                requestsInFlight.push(this.sendWithRetries(dueRequests[nextIndex]!));
                nextIndex++;
            }
            await sleep(SCHEDULING_INTERVAL_MS);
        }
        await Promise.all(requestsInFlight);
        await sleep(DRAIN_MS);
    }

    private nowMs(): number {
        return performance.timeOrigin + performance.now() - this.plan.startAtMs;
    }

    private async sendWithRetries(request: DueRequest): Promise<void> {
        let lastAttempt: AttemptResult = { status: 0, code: 0 };
        let attempts = 0;
        while (attempts < this.plan.attempts && !isCompleted(lastAttempt)) {
            if (attempts > 0) {
                await sleep(this.plan.retryDelayMs);
            }
            attempts++;
            lastAttempt = await this.sendAttempt(request, attempts);
        }
        const result: LoadResult = {
            id: request.id,
            flow: request.flow.name,
            intendedMs: request.intendedMs,
            endMs: this.nowMs(),
            attempts,
            completed: isCompleted(lastAttempt),
            ...lastAttempt,
        };
        process.stdout.write(`${JSON.stringify(result)}\n`);
    }

    private async sendAttempt(request: DueRequest, attempt: number): Promise<AttemptResult> {
        const pool = this.pools[this.nextPoolIndex++ % this.pools.length]!;
        try {
            const response = await pool.request({
                method: request.flow.method,
                path: request.flow.path,
                headers: {
                    "authorization": `Bearer ${request.flow.key}`,
                    "x-request-id": `${request.id}/${attempt}`,
                    "deadline-ms": String(this.plan.deadlineMs),
                },
                signal: AbortSignal.timeout(this.plan.deadlineMs),
            });
            const text = await response.body.text();
            return { status: response.statusCode, code: response.statusCode >= 400 ? parseResultCode(text) : 0 };
        }
        catch {
            return { status: 0, code: 0 };
        }
    }
}

function sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

const plan = loadPlanSchema.parse(JSON.parse(process.argv[2] ?? "{}"));
const generator = new LoadGenerator(plan);
process.stdout.write("ready\n");
await generator.run();
process.exit(0);
