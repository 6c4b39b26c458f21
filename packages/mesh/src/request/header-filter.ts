/**
 * Chooses the header fields of a message that go on to the next connection.
 */

/** What becomes of the fields of one name. */
type FieldRule = "passed-on" | "dropped" | "names-dropped-fields";

/** Headers that concern one connection only. */
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
/** Spellings of names whose rule is remembered; what callers make up beyond it is looked up each time. */
const MAXIMUM_REMEMBERED = 512;

/** Drops fields that concern one connection only, and those that a node sets itself. */
export class HeaderFilter {
    private readonly rules = new Map<string, FieldRule>();

    private constructor(private readonly replaced: ReadonlySet<string>) {}

    /** A filter that also drops the headers of the names given, in lower case. */
    static create(replaced: ReadonlySet<string> = new Set()): HeaderFilter {
        return new HeaderFilter(replaced);
    }

    /** Fields of a message that may be passed on; `fields` holds names and values by turns. */
    filter(fields: readonly string[]): string[] {
        const kept: string[] = [];
        let named: Set<string> | undefined;
        for (let index = 0; index < fields.length; index += 2) {
            const name = fields[index]!;
            const value = fields[index + 1]!;
            switch (this.ruleOf(name)) {
                case "passed-on":
                    kept.push(name, value);
                    break;
                case "names-dropped-fields":
                    named = addOptions(named, value);
                    break;
                case "dropped":
                    break;
            }
        }
        return named ? withoutNamed(kept, named) : kept;
    }

    private ruleOf(name: string): FieldRule {
        let rule = this.rules.get(name);
        if (rule === undefined) {
            rule = this.findRule(name.toLowerCase());
            if (this.rules.size < MAXIMUM_REMEMBERED) {
                this.rules.set(name, rule);
            }
        }
        return rule;
    }

    private findRule(lowerCaseName: string): FieldRule {
        if (lowerCaseName === "connection") {
            return "names-dropped-fields";
        }
        return CONNECTION_HEADERS.has(lowerCaseName) || this.replaced.has(lowerCaseName) ? "dropped" : "passed-on";
    }
}

/** Adds the options of a `Connection` header, which name further headers of this connection only. */
function addOptions(named: Set<string> | undefined, value: string): Set<string> | undefined {
    if (value.toLowerCase() === "keep-alive") {
        return named;
    }
    const options = value.split(",").map(option => option.trim().toLowerCase());
    return new Set([...named ?? [], ...options]);
}

function withoutNamed(fields: readonly string[], named: ReadonlySet<string>): string[] {
    const kept: string[] = [];
    for (let index = 0; index < fields.length; index += 2) {
        if (!named.has(fields[index]!.toLowerCase())) {
            kept.push(fields[index]!, fields[index + 1]!);
        }
    }
    return kept;
}
