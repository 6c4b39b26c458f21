/**
 * Checks of the joined configuration, for mistakes that cannot be found in one file alone.
 */
import type { Configuration, Route } from "./configuration.js";
import { coversPath } from "./route-index.js";
import type { SourceProblem } from "./source-problem.js";

/** Returns the file that defines a path such as `services.items`. */
export type FindOrigin = (path: string) => string;

/** Finds mistakes that only the complete configuration shows. */
export function checkConfiguration(configuration: Configuration, findOrigin: FindOrigin): SourceProblem[] {
    const report: ReportProblem = (severity, path, message) => {
        const [section, name] = path.split(".", 2);
        return { file: findOrigin(`${section}.${name}`), path, message, severity };
    };
    return [
        ...checkSections(configuration, report),
        ...checkKeys(configuration, report),
        ...checkBursts(configuration, report),
        ...Object.keys(configuration.services).flatMap(name => checkService(configuration, name, report)),
    ];
}

type ReportProblem = (severity: SourceProblem["severity"], path: string, message: string) => SourceProblem;

function checkSections(configuration: Configuration, report: ReportProblem): SourceProblem[] {
    const sections = ["services", "failureDomains"] as const;
    return sections.filter(section => Object.keys(configuration[section]).length === 0)
        .map(section => report("error", section, "is empty or missing in all files; define at least one"));
}

function checkKeys(configuration: Configuration, report: ReportProblem): SourceProblem[] {
    const problems: SourceProblem[] = [];
    const owners = new Map<string, string>();
    for (const [name, organisation] of Object.entries(configuration.organisations)) {
        if (organisation.keys.length === 0) {
            const message = "has no key, so that nobody can call for it; add one made by `radishrouter key`";
            problems.push(report("warning", `organisations.${name}.keys`, message));
        }
        for (const [index, key] of organisation.keys.entries()) {
            const path = `organisations.${name}.keys.${index}`;
            for (const part of ["id", "hash"] as const) {
                const owner = owners.get(key[part]);
                if (owner !== undefined) {
                    const message = `is already a key of ${owner}; make a new key with \`radishrouter key\``;
                    problems.push(report("error", `${path}.${part}`, message));
                }
                owners.set(key[part], name);
            }
        }
    }
    return problems;
}

function checkBursts(configuration: Configuration, report: ReportProblem): SourceProblem[] {
    const domains = Object.entries(configuration.failureDomains);
    const totalSeats = domains.reduce((sum, [, domain]) => sum + domain.seats, 0);
    const smallest = domains.sort(([, left], [, right]) => left.seats - right.seats)[0];
    if (!smallest) {
        return [];
    }
    const [domainName, { seats }] = smallest;
    const leastBurst = Math.ceil(totalSeats / seats);
    return Object.entries(configuration.organisations)
        .filter(([, { burst }]) => burst < leastBurst)
        .map(([name, { burst }]) =>
            report(
                "warning",
                `organisations.${name}.burst`,
                `of ${burst} leaves less than one request to ${domainName} during a partition; use at least ${leastBurst}`,
            )
        );
}

function checkService(configuration: Configuration, name: string, report: ReportProblem): SourceProblem[] {
    const { routes, slots, connections } = configuration.services[name]!;
    const problems = routes.flatMap((route, index) => {
        const path = `services.${name}.routes.${index}`;
        return [
            ...checkPath(route, path, report),
            ...checkAccess(configuration, route, path, report),
            ...checkShadowed(routes, index, path, report),
        ];
    });
    if (connections < slots) {
        const message = `is less than its ${slots} slots, which can then never be filled; use at least ${slots}`;
        problems.push(report("error", `services.${name}.connections`, message));
    }
    return problems;
}

function checkPath(route: Route, path: string, report: ReportProblem): SourceProblem[] {
    const segments = route.path.split("/");
    const problems: SourceProblem[] = [];
    if (segments.slice(0, -1).includes("*")) {
        problems.push(report("error", `${path}.path`, "has * before its end; use :name for a segment in between"));
    }
    if (/[?#\s\\]|\/\/|\/\.{1,2}(\/|$)/.test(route.path)) {
        const message =
            "can never match a request; remove queries, fragments, whitespace, backslashes, empty and dot segments";
        problems.push(report("error", `${path}.path`, message));
    }
    if (!route.idempotent && (route.method === "GET" || route.method === "HEAD")) {
        const message = `is false on a ${route.method} route, which clients repeat freely; use true or another method`;
        problems.push(report("warning", `${path}.idempotent`, message));
    }
    return problems;
}

function checkAccess(
    configuration: Configuration,
    route: Route,
    path: string,
    report: ReportProblem,
): SourceProblem[] {
    const names = route.organisations ?? [];
    const problems = names.flatMap((name, index) =>
        Object.hasOwn(configuration.organisations, name) ? [] : [report(
            "error",
            `${path}.organisations.${index}`,
            `names ${name}, which no file defines; correct the name or define the organisation`,
        )]
    );
    if (route.organisations && names.length === 0) {
        problems.push(
            report("error", `${path}.organisations`, "is empty, so that nobody may call; name some or remove it"),
        );
    }
    if (route.organisations && route.open) {
        problems.push(report("error", `${path}.open`, "is true although organisations are named; keep one of the two"));
    }
    return problems;
}

function checkShadowed(
    routes: readonly Route[],
    index: number,
    path: string,
    report: ReportProblem,
): SourceProblem[] {
    const route = routes[index]!;
    const earlier = routes.slice(0, index)
        .findIndex(other => other.method === route.method && coversPath(other.path, route.path));
    return earlier < 0 ? [] : [
        report(
            "error",
            path,
            `is never used because routes.${earlier} matches the same requests; put it before that one`,
        ),
    ];
}
