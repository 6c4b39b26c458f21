#!/usr/bin/env node
/**
 * Command `radishrouterd`, which runs one node.
 */
import { cac } from "cac";
import createDebug from "debug";
import { Node } from "../process/node.js";
import { readSettings, SettingsError } from "../process/settings.js";

const EXIT_USAGE = 2;
const log = createDebug("radishrouter:daemon");
const auditLog = createDebug("radishrouter:audit");

async function main(settingsFile: string): Promise<void> {
    const node = Node.create(readSettings(settingsFile));
    node.audit.events.on("entry", entry => auditLog("%s", JSON.stringify(entry)));
    const stop = async () => {
        await node.stop();
        process.exit(0);
    };
    process.once("SIGTERM", () => void stop());
    process.once("SIGINT", () => void stop());
    await node.start();
    log("node is listening");
    process.stdout.write("ready\n");
}

const commandLine = cac("radishrouterd");
commandLine.option("--settings <file>", "JSON file with the settings of this node");
commandLine.help();
const { options } = commandLine.parse();
if (!options["help"]) {
    if (typeof options["settings"] !== "string") {
        process.stderr.write(
            "radishrouterd: the option --settings FILE is missing; FILE is a JSON file with the settings of this node\n",
        );
        process.exit(EXIT_USAGE);
    }
    try {
        await main(options["settings"]);
    }
    catch (error) {
        process.stderr.write(`radishrouterd: ${error instanceof SettingsError ? error.message : String(error)}\n`);
        process.exit(error instanceof SettingsError ? EXIT_USAGE : 1);
    }
}
