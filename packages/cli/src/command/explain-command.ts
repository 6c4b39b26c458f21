/**
 * `radishrouter explain`: what would happen to a request, and why.
 */
import {
    configurationSchema,
    ConfigurationVersion,
    explainRequest,
    nodeStatusSchema,
    resultDefinition,
} from "@radishrouter/core";
import type {
    Configuration,
    ExplainedRequest,
    ExplanationStep,
    NodeStatus,
    RequestExplanation,
} from "@radishrouter/core";
import { queryNode } from "../node/node-client.js";
import type { NodeResult } from "../node/node-client.js";
import { formatTable } from "../output/text-table.js";
import type { TableStyle } from "../output/text-table.js";
import { CommandError, exitCodes } from "./command-error.js";
import { readJsonFile } from "./read-files.js";

/** Source of the configuration that a request is evaluated against. */
export interface ExplainSource {
    /** File with a compiled document. */
    readonly document?: string;
    /** URL of a node's operators' listener. */
    readonly node?: string;
}

/** An explanation, with the status of the node if one was queried. */
export interface Explanation extends RequestExplanation {
    readonly node?: NodeStatus;
}

/**
 * Explains a request. The caller's key is checked against the configuration in this process and never sent.
 *
 * @throws CommandError when no source is given, or the file cannot be read or the node does not respond.
 */
export async function runExplain(request: ExplainedRequest, source: ExplainSource): Promise<Explanation> {
    if (source.node !== undefined) {
        const configuration = requireResponse(await queryNode(source.node, "/configuration", configurationSchema));
        const node = requireResponse(await queryNode(source.node, "/status", nodeStatusSchema));
        return { ...explain(configuration, request), node };
    }
    if (source.document === undefined) {
        throw CommandError.create(
            "no configuration given; use --document FILE or --node URL",
            exitCodes.usage,
        );
    }
    return explain(readJsonFile(source.document, configurationSchema, "a compiled document"), request);
}

function explain(configuration: Configuration, request: ExplainedRequest): RequestExplanation {
    return explainRequest(ConfigurationVersion.create(configuration), request);
}

function requireResponse<Value>(result: NodeResult<Value>): Value {
    switch (result.kind) {
        case "answered":
            return result.value;
        case "unreachable":
            throw CommandError.create(`${result.url}: ${result.reason}`, exitCodes.incomplete);
    }
}

/** Formats an explanation as a table with one row per step, followed by the verdict. */
export function formatExplanation(explanation: Explanation, style: TableStyle): string {
    const rows = explanation.steps.map(step => [step.step, step.verdict, step.finding, formatResult(step)]);
    const { node } = explanation;
    if (node) {
        const { inFlight, limit, queued } = node.load;
        rows.push(["node", node.state, `${node.host}: ${inFlight} of ${limit} running, ${queued} waiting`, "-"]);
    }
    const verdict = explanation.refusedWith === undefined ?
        "this request is run unless the load is too high" :
        `this request is refused: ${describeResult(explanation.refusedWith)}`;
    const table = formatTable({ head: ["step", "verdict", "finding", "refused with"], rows }, style);
    return `configuration version ${explanation.version}\n${table}\n${verdict}`;
}

function formatResult(step: ExplanationStep): string {
    return step.refusedWith === undefined ? "-" : describeResult(step.refusedWith);
}

function describeResult(name: NonNullable<ExplanationStep["refusedWith"]>): string {
    const { code, httpStatus } = resultDefinition(name);
    return `${code} ${name} (HTTP ${httpStatus})`;
}
