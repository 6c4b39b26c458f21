#!/usr/bin/env node
/**
 * Command `radishrouterd`, which runs one node.
 */
import { ProcessSignals } from "@radishrouter/core/process-signals";

const signals = ProcessSignals.create();
// The rest is loaded only now, so that a signal that comes meanwhile does not end the process.
const { runDaemonProgram } = await import("../process/daemon-program.js");
await runDaemonProgram(signals);
