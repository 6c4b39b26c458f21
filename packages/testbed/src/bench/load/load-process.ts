/**
 * Open-loop load in a process of its own: each request is sent when it is due, whatever became of earlier ones.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Pool } from "undici";
import { z } from "zod";
import { loadPlanSchema } from "./load-plan.js";
import type { LoadFlow, LoadPlan, LoadResult } from "./load-plan.js";

const TICK_MS = 2;
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

function readCode(text: string): number {
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

/** Poisson arrivals of all flows in the order in which they are due. */
function schedule(plan: LoadPlan): DueRequest[] {
    const generator = xoroshiro128plus(plan.seed);
    const due: DueRequest[] = [];
    for (const flow of plan.flows) {
        let count = 0;
        for (const phase of flow.phases) {
            let timeMs = phase.startMs;
            while (phase.ratePerSecond > 0) {
                timeMs += -Math.log(1 - uniformFloat64(generator)) * 1000 / phase.ratePerSecond;
                if (timeMs >= phase.endMs) {
                    break;
                }
                due.push({ flow, intendedMs: timeMs, id: `${plan.seed}-${flow.name}-${count++}` });
            }
        }
    }
    return due.sort((left, right) => left.intendedMs - right.intendedMs);
}

/** Sends the requests of one plan. */
class LoadGenerator {
    private readonly pools: readonly Pool[];
    private nextPool: number;

    constructor(private readonly plan: LoadPlan) {
        const { connections, localAddress } = plan;
        this.pools = plan.urls.map(url => new Pool(url, { connections, connect: { localAddress } }));
        this.nextPool = plan.seed;
    }

    async run(): Promise<void> {
        const due = schedule(this.plan);
        const running: Promise<void>[] = [];
        let next = 0;
        while (next < due.length) {
            const nowMs = this.nowMs();
            while (next < due.length && due[next]!.intendedMs <= nowMs) {
                running.push(this.sendUntilAnswered(due[next]!));
                next++;
            }
            await sleep(TICK_MS);
        }
        await Promise.all(running);
        await sleep(DRAIN_MS);
    }

    private nowMs(): number {
        return performance.timeOrigin + performance.now() - this.plan.startAtMs;
    }

    private async sendUntilAnswered(request: DueRequest): Promise<void> {
        let last: AttemptResult = { status: 0, code: 0 };
        let attempts = 0;
        while (attempts < this.plan.attempts && !isCompleted(last)) {
            if (attempts > 0) {
                await sleep(this.plan.retryDelayMs);
            }
            attempts++;
            last = await this.sendOnce(request, attempts);
        }
        const result: LoadResult = {
            id: request.id,
            flow: request.flow.name,
            intendedMs: request.intendedMs,
            endMs: this.nowMs(),
            attempts,
            completed: isCompleted(last),
            ...last,
        };
        process.stdout.write(`${JSON.stringify(result)}\n`);
    }

    private async sendOnce(request: DueRequest, attempt: number): Promise<AttemptResult> {
        const pool = this.pools[this.nextPool++ % this.pools.length]!;
        try {
            const answer = await pool.request({
                method: request.flow.method,
                path: request.flow.path,
                headers: {
                    "authorization": `Bearer ${request.flow.key}`,
                    "x-request-id": `${request.id}/${attempt}`,
                    "deadline-ms": String(this.plan.deadlineMs),
                },
                signal: AbortSignal.timeout(this.plan.deadlineMs),
            });
            const text = await answer.body.text();
            return { status: answer.statusCode, code: answer.statusCode >= 400 ? readCode(text) : 0 };
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
