/**
 * `radishrouter audit`: changes that nodes activated, such as new versions of the configuration.
 */
import { auditEntrySchema } from "@radishrouter/core";
import type { AuditEntry } from "@radishrouter/core";
import { z } from "zod";
import { findUnreachable, queryNodes } from "../node/node-client.js";
import type { UnreachableNode } from "../node/node-client.js";
import { formatTable } from "../output/text-table.js";
import type { TableStyle } from "../output/text-table.js";

const auditSchema = z.object({ entries: z.array(auditEntrySchema) });

/** One change and the node that activated it. */
export interface NodeAuditEntry extends AuditEntry {
    /** URL of the node. */
    readonly node: string;
}

/** Changes of all nodes that responded. */
export interface FleetAudit {
    readonly entries: readonly NodeAuditEntry[];
    readonly unreachable: readonly UnreachableNode[];
}

/** Queries nodes for their changes, oldest first; if `change` is given, only for those of that kind. */
export async function collectAudit(urls: readonly string[], change: string | undefined): Promise<FleetAudit> {
    const results = await queryNodes(urls, "/audit", auditSchema);
    const entries = results.flatMap(result =>
        result.kind === "answered" ? result.value.entries.map(entry => ({ ...entry, node: result.url })) : []
    );
    return {
        entries: entries.filter(entry => change === undefined || entry.change === change)
            .sort((left, right) => left.time < right.time ? -1 : left.time > right.time ? 1 : 0),
        unreachable: findUnreachable(results),
    };
}

/** Formats changes as a table with one row per change. */
export function formatAudit(audit: FleetAudit, style: TableStyle): string {
    const rows = audit.entries.map(({ time, node, change, subject, cause }) => [time, node, change, subject, cause]);
    return formatTable({ head: ["time", "node", "change", "subject", "cause"], rows }, style);
}
