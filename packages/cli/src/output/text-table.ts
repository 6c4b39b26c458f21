/**
 * Formats tables, with borders for a terminal or separated by tabs for programs that read from a pipe.
 */
import Table from "cli-table3";

/** One cell of a table. */
export type Cell = string | number;

/** Table with one head row. */
export interface TextTable {
    readonly head: readonly string[];
    readonly rows: readonly (readonly Cell[])[];
}

/** Format of a table: `lines` draws borders for people, `tabs` separates cells by tabs for programs. */
export type TableStyle = "lines" | "tabs";

/** Returns the style for the standard output: `lines` on a terminal, `tabs` otherwise. */
export function detectTableStyle(): TableStyle {
    return process.stdout.isTTY ? "lines" : "tabs";
}

/** Formats a table, without colours. */
export function formatTable(table: TextTable, style: TableStyle): string {
    switch (style) {
        case "tabs":
            return [table.head, ...table.rows].map(row => row.map(removeControlCharacters).join("\t")).join("\n");
        case "lines": {
            const lines = new Table({ head: [...table.head], style: { head: [], border: [] } });
            lines.push(...table.rows.map(row => row.map(removeControlCharacters)));
            return lines.toString();
        }
    }
}

/** Replaces control characters by spaces, because text from nodes may contain terminal escapes, tabs or line breaks. */
function removeControlCharacters(cell: Cell): string {
    return String(cell).replace(/\p{Cc}+/gu, " ");
}
