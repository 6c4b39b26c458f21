/**
 * `npm run bench -- NAME`: runs one scenario; the last line of output is one JSON object with its measures.
 */
import { scenarios } from "./scenarios.js";

const EXIT_USAGE = 2;
const name = process.argv[2];
const scenario = scenarios.find(candidate => candidate.name === name);
if (!scenario) {
    const list = scenarios.map(({ name, description }) => `  ${name}: ${description}`).join("\n");
    process.stderr.write(`bench: the first argument must name one of these scenarios:\n${list}\n`);
    process.exitCode = EXIT_USAGE;
}
else {
    const measures = await scenario.run();
    process.stdout.write(`${JSON.stringify({ scenario: scenario.name, measures })}\n`);
}
