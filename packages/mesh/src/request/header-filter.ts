/**
 * Selects the header fields of a message that are forwarded to the next connection.
 */

/** How the fields of one name are treated. */
type FieldRule = "passed-on" | "dropped" | "names-dropped-fields";

/** Hop-by-hop headers, which apply to one connection only. */
const CONNECTION_HEADERS = new Set([
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "content-length",
    "te",
    "trailer",
    "upgrade",
    "expect",
    "http2-settings",
]);
/** Spellings of names whose rule is cached; others, such as ones that callers make up, are looked up each time. */
const MAXIMUM_CACHED_RULES = 512;

/** Drops hop-by-hop fields, and fields that the node sets itself. */
export class HeaderFilter {
    private readonly rules = new Map<string, FieldRule>();

    private constructor(private readonly droppedNames: ReadonlySet<string>) {}

    /** Creates a filter that also drops the headers with the given names, which must be in lower case. */
    static create(droppedNames: ReadonlySet<string> = new Set()): HeaderFilter {
        return new HeaderFilter(droppedNames);
    }

    /** Returns the fields that may be forwarded; `fields` contains alternating names and values. */
    filter(fields: readonly string[]): string[] {
        const kept: string[] = [];
        let connectionOptions: Set<string> | undefined;
        for (let index = 0; index < fields.length; index += 2) {
            const name = fields[index]!;
            const value = fields[index + 1]!;
            switch (this.ruleOf(name)) {
                case "passed-on":
                    kept.push(name, value);
                    break;
                case "names-dropped-fields":
                    connectionOptions = addOptions(connectionOptions, value);
                    break;
                case "dropped":
                    break;
            }
        }
        return connectionOptions ? withoutNames(kept, connectionOptions) : kept;
    }

    private ruleOf(name: string): FieldRule {
        let rule = this.rules.get(name);
        if (rule === undefined) {
            rule = this.findRule(name.toLowerCase());
            if (this.rules.size < MAXIMUM_CACHED_RULES) {
                this.rules.set(name, rule);
            }
        }
        return rule;
    }

    private findRule(lowerCaseName: string): FieldRule {
        if (lowerCaseName === "connection") {
            return "names-dropped-fields";
        }
        return CONNECTION_HEADERS.has(lowerCaseName) || this.droppedNames.has(lowerCaseName) ? "dropped" : "passed-on";
    }
}

/** Adds the options of a `Connection` header, which name further hop-by-hop headers. */
function addOptions(connectionOptions: Set<string> | undefined, value: string): Set<string> | undefined {
    if (value.toLowerCase() === "keep-alive") {
        return connectionOptions;
    }
    const options = value.split(",").map(option => option.trim().toLowerCase());
    return new Set([...connectionOptions ?? [], ...options]);
}

function withoutNames(fields: readonly string[], names: ReadonlySet<string>): string[] {
    const kept: string[] = [];
    for (let index = 0; index < fields.length; index += 2) {
        if (!names.has(fields[index]!.toLowerCase())) {
            kept.push(fields[index]!, fields[index + 1]!);
        }
    }
    return kept;
}
