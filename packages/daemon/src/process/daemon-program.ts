/**
 * Runs one node in this process, from its start to the end of the process.
 */
import type { ProcessSignals } from "@radishrouter/core";
import { cac } from "cac";
import createDebug from "debug";
import { Node } from "./node.js";
import { readSettings, SettingsError } from "./settings.js";

const EXIT_STOPPED = 0;
const EXIT_FAILED = 1;
const EXIT_USAGE = 2;
const log = createDebug("radishrouter:daemon");
const auditLog = createDebug("radishrouter:audit");

/** Reads the command line and runs the node; resolves when callers can connect. */
export async function runDaemonProgram(signals: ProcessSignals): Promise<void> {
    const commandLine = cac("radishrouterd");
    commandLine.option("--settings <file>", "JSON file with the settings of this node");
    commandLine.help();
    const { options } = commandLine.parse();
    if (options["help"]) {
        return;
    }
    const file = options["settings"];
    if (typeof file !== "string") {
        fail("the option --settings FILE is missing; FILE is a JSON file with the settings of this node", EXIT_USAGE);
    }
    try {
        await runNode(file, signals);
    }
    catch (error) {
        if (error instanceof SettingsError) {
            fail(error.message, EXIT_USAGE);
        }
        fail(String(error), EXIT_FAILED);
    }
}

async function runNode(settingsFile: string, signals: ProcessSignals): Promise<void> {
    const node = Node.create(readSettings(settingsFile));
    node.audit.events.on("entry", entry => auditLog("%s", JSON.stringify(entry)));
    signals.handle({
        stop: () => void stopAndExit(node),
        stopAgain: signal => log("%s ignored: the process already stops", signal),
        reload: () => checkSettings(settingsFile),
    });
    await node.start();
    log("node is listening");
    process.stdout.write("ready\n");
}

/** Stops the node and ends the process. */
async function stopAndExit(node: Node): Promise<never> {
    await node.stop();
    process.exit(EXIT_STOPPED);
}

/** Validates the settings file again and logs the result; changed settings take effect at the next start. */
function checkSettings(settingsFile: string): void {
    try {
        readSettings(settingsFile);
        log("%s can be used; changes take effect at the next start", settingsFile);
    }
    catch (error) {
        log("%s", error instanceof Error ? error.message : String(error));
    }
}

function fail(message: string, exitCode: number): never {
    process.stderr.write(`radishrouterd: ${message}\n`);
    process.exit(exitCode);
}
