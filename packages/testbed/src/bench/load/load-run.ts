/**
 * Starts load processes and collects their results.
 */
import { fileURLToPath } from "node:url";
import { Child } from "../../fleet/child.js";
import { loadResultSchema } from "./load-plan.js";
import type { LoadPlan, LoadResult } from "./load-plan.js";

const script = fileURLToPath(new URL("load-process.js", import.meta.url));

/** Runs one process for each plan and resolves with all results after every process has exited. */
export async function runLoad(plans: readonly LoadPlan[]): Promise<LoadResult[]> {
    const children = plans.map((plan, index) => Child.create(`load ${index}`, script, [JSON.stringify(plan)]));
    await Promise.all(children.map(child => child.ready));
    await Promise.all(children.map(child => child.waitForExit()));
    return children.flatMap(child => child.lines.filter(line => line.startsWith("{")))
        .map(line => loadResultSchema.parse(JSON.parse(line)));
}
