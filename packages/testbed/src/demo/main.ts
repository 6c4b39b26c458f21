/**
 * `npm run demo`: both example deployments as processes on loopback, from operators' files to the report.
 */
import { createReportPage, formatReport } from "@radishrouter/cli";
import type { FleetReport } from "@radishrouter/cli";
import { writeFileSync } from "node:fs";
import { DeploymentRun } from "./deployment-run.js";
import { deployments } from "./deployments.js";
import type { Deployment } from "./deployments.js";

const MS_PER_SECOND = 1000;
const startMs = performance.now();

function showProgress(message: string): void {
    const seconds = ((performance.now() - startMs) / MS_PER_SECOND).toFixed(1);
    process.stdout.write(`demo: ${seconds} s  ${message}\n`);
}

async function runDeployment(deployment: Deployment, index: number): Promise<FleetReport> {
    const run = await DeploymentRun.create(deployment, process.pid + index, showProgress);
    try {
        return await run.run();
    }
    finally {
        await run.stop();
    }
}

/** Shows the report, and writes it as an HTML page if `--html DIRECTORY` was given. */
function presentReport(deployment: Deployment, report: FleetReport): void {
    process.stdout.write(`\n${deployment.name}: who got what\n${formatReport(report, "lines")}\n`);
    const option = process.argv.indexOf("--html");
    const directory = option < 0 ? undefined : process.argv[option + 1];
    if (directory !== undefined) {
        writeFileSync(`${directory}/${deployment.name}.html`, createReportPage(report));
    }
}

try {
    showProgress("starting two deployments; this takes about 20 seconds");
    const results = await Promise.allSettled(deployments.map(runDeployment));
    for (const [index, result] of results.entries()) {
        if (result.status === "fulfilled") {
            presentReport(deployments[index]!, result.value);
        }
    }
    const failed = results.find(result => result.status === "rejected");
    if (failed) {
        throw failed.reason;
    }
    process.stdout.write("demo: ok\n");
}
catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    process.stdout.write(`demo: failed ${reason.replace(/\s+/g, " ")}\n`);
    process.exitCode = 1;
}
