/**
 * Tables for people on a terminal and for programs in a pipe.
 */
import Table from "cli-table3";

/** One cell of a table. */
export type Cell = string | number;

/** Rows under a head. */
export interface TextTable {
    readonly head: readonly string[];
    readonly rows: readonly (readonly Cell[])[];
}

/** How a table is written: with lines for people, or separated by tabs for programs. */
export type TableStyle = "lines" | "tabs";

/** Style for the standard output: lines only on a terminal. */
export function detectTableStyle(): TableStyle {
    return process.stdout.isTTY ? "lines" : "tabs";
}

/** Formats a table without colour. */
export function formatTable(table: TextTable, style: TableStyle): string {
    switch (style) {
        case "tabs":
            return [table.head, ...table.rows].map(row => row.map(cleanCell).join("\t")).join("\n");
        case "lines": {
            const lines = new Table({ head: [...table.head], style: { head: [], border: [] } });
            lines.push(...table.rows.map(row => row.map(cleanCell)));
            return lines.toString();
        }
    }
}

/** Keeps control characters of foreign text away from terminals and from the columns of a pipe. */
function cleanCell(cell: Cell): string {
    return String(cell).replace(/\p{Cc}+/gu, " ");
}
