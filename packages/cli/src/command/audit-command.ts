/**
 * `radishrouter audit`: the changes that nodes put in force.
 */
import { auditEntrySchema } from "@radishrouter/core";
import type { AuditEntry } from "@radishrouter/core";
import { z } from "zod";
import { askNodes, findUnreachable } from "../node/node-client.js";
import type { UnreachableNode } from "../node/node-client.js";
import { formatTable } from "../output/text-table.js";
import type { TableStyle } from "../output/text-table.js";

const auditSchema = z.object({ entries: z.array(auditEntrySchema) });

/** One change and the node that put it in force. */
export interface NodeAuditEntry extends AuditEntry {
    /** URL of the node. */
    readonly node: string;
}

/** Changes of all nodes that answered. */
export interface FleetAudit {
    readonly entries: readonly NodeAuditEntry[];
    readonly unreachable: readonly UnreachableNode[];
}

/** Asks nodes for their changes, the oldest first; only those of one kind if it is named. */
export async function collectAudit(urls: readonly string[], change: string | undefined): Promise<FleetAudit> {
    const answers = await askNodes(urls, "/audit", auditSchema);
    const entries = answers.flatMap(answer =>
        answer.kind === "answered" ? answer.value.entries.map(entry => ({ ...entry, node: answer.url })) : []
    );
    return {
        entries: entries.filter(entry => change === undefined || entry.change === change)
            .sort((left, right) => left.time < right.time ? -1 : left.time > right.time ? 1 : 0),
        unreachable: findUnreachable(answers),
    };
}

/** Formats changes, one a line. */
export function formatAudit(audit: FleetAudit, style: TableStyle): string {
    const rows = audit.entries.map(({ time, node, change, subject, cause }) => [time, node, change, subject, cause]);
    return formatTable({ head: ["time", "node", "change", "subject", "cause"], rows }, style);
}
