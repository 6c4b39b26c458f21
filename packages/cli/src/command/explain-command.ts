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
import { askNode } from "../node/node-client.js";
import type { NodeAnswer } from "../node/node-client.js";
import { formatTable } from "../output/text-table.js";
import type { TableStyle } from "../output/text-table.js";
import { CommandError, exitCodes } from "./command-error.js";
import { readJsonFile } from "./read-files.js";

/** Where the configuration comes from. */
export interface ExplainSource {
    /** File with a compiled document. */
    readonly document?: string;
    /** URL of a node's operators' listener. */
    readonly node?: string;
}

/** An explanation, and the state of the node that was asked. */
export interface Explanation extends RequestExplanation {
    readonly node?: NodeStatus;
}

/**
 * Explains a request. A key is looked up here and never sent.
 *
 * @throws CommandError when the configuration cannot be had.
 */
export async function runExplain(request: ExplainedRequest, source: ExplainSource): Promise<Explanation> {
    if (source.node !== undefined) {
        const configuration = requireAnswer(await askNode(source.node, "/configuration", configurationSchema));
        const node = requireAnswer(await askNode(source.node, "/status", nodeStatusSchema));
        return { ...explain(configuration, request), node };
    }
    if (source.document === undefined) {
        throw CommandError.create(
            "name a compiled document with --document FILE or a node with --node URL",
            exitCodes.usage,
        );
    }
    return explain(readJsonFile(source.document, configurationSchema, "a compiled document"), request);
}

function explain(configuration: Configuration, request: ExplainedRequest): RequestExplanation {
    return explainRequest(ConfigurationVersion.create(configuration), request);
}

function requireAnswer<Value>(answer: NodeAnswer<Value>): Value {
    switch (answer.kind) {
        case "answered":
            return answer.value;
        case "unreachable":
            throw CommandError.create(`${answer.url}: ${answer.reason}`, exitCodes.incomplete);
    }
}

/** Formats an explanation, one step a line. */
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
