/**
 * `npm run demo`: starts a small fleet, sends traffic with a surge of one organisation, and prints the report.
 */
import { collectReport, formatReport } from "@radishrouter/cli";
import { Pool } from "undici";
import { createExampleConfiguration } from "../fleet/example-configuration.js";
import { Fleet } from "../fleet/fleet.js";

const REQUESTS_PER_ORGANISATION = 100;
const SURGE_FACTOR = 10;

async function sendTraffic(url: string, key: string, requests: number): Promise<number> {
    const pool = new Pool(url, { connections: 32 });
    const headers = { authorization: `Bearer ${key}` };
    const answers = await Promise.all(Array.from({ length: requests }, async (_, index) => {
        const answer = await pool.request({ method: "GET", path: `/catalogue/read/${index}`, headers });
        await answer.body.dump();
        return answer.statusCode;
    }));
    await pool.close();
    return answers.filter(status => status === 200).length;
}

async function main(): Promise<void> {
    const example = createExampleConfiguration({
        organisations: { archive: { rate: 100, burst: 100 }, mission: { rate: 100, burst: 100 } },
        services: { catalogue: {}, items: {} },
        failureDomains: { "khomas-a": { region: "khomas", seats: 2 } },
    });
    const host = { failureDomain: "khomas-a", region: "khomas" };
    const fleet = await Fleet.create({
        configuration: example.configuration,
        hosts: [
            {
                ...host,
                name: "catalogue-1",
                service: "catalogue",
                seat: 0,
                behaviour: { onwardCalls: ["/items/read/1"] },
            },
            { ...host, name: "items-1", service: "items", seat: 1 },
        ],
    });
    try {
        const url = fleet.callerUrl("catalogue-1");
        await sendTraffic(url, example.keys["archive"]!, REQUESTS_PER_ORGANISATION * SURGE_FACTOR);
        await sendTraffic(url, example.keys["mission"]!, REQUESTS_PER_ORGANISATION);
        const report = await collectReport([...fleet.hosts.keys()].map(name => fleet.operatorsUrl(name)));
        process.stdout.write(`${formatReport(report)}\n`);
    }
    finally {
        await fleet.stop();
    }
}

try {
    await main();
    process.stdout.write("demo: ok\n");
}
catch (error) {
    process.stdout.write(`demo: failed ${error instanceof Error ? error.message : String(error)}\n`);
    process.exitCode = 1;
}
