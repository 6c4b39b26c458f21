/**
 * Explains how a configuration version treats a request, for operators who ask why it was refused.
 */
import type { ResultName } from "../result-code.js";
import type { ConfigurationVersion } from "./configuration-version.js";
import { findOrganisation } from "./configuration.js";
import type { Importance, Route } from "./configuration.js";

/** A request that an operator asks about. */
export interface ExplainedRequest {
    readonly method: string;
    /** Request target with the service name, such as `/items/search?q=1`. */
    readonly target: string;
    /** Key of the caller; takes precedence over `organisation`. */
    readonly key?: string;
    /** Organisation to explain the request for if no key is given. */
    readonly organisation?: string;
}

/** One check that a node makes of a request; the steps are in the order of the checks. */
export interface ExplanationStep {
    readonly step: "target" | "route" | "key" | "organisation" | "rate" | "capacity" | "deadline" | "retries";
    readonly finding: string;
    /** Result of a request that does not pass this step. */
    readonly refusedWith?: ResultName;
    /** Whether this request passes the step, is refused at it, or is refused only under certain load or delay. */
    readonly verdict: "passes" | "refused" | "depends";
}

/** How a configuration version treats a request. */
export interface RequestExplanation {
    readonly version: number;
    readonly service?: string;
    readonly route?: Route;
    readonly organisation?: string;
    readonly keyId?: string;
    readonly importance?: Importance;
    readonly retryBudget?: number;
    readonly steps: readonly ExplanationStep[];
    /** First result that refuses the request regardless of the load; undefined if none does. */
    readonly refusedWith?: ResultName;
}

interface Caller {
    readonly step: ExplanationStep;
    readonly organisation?: string;
    readonly keyId?: string;
}

/** Explains each check that a node would make of a request. */
export function explainRequest(version: ConfigurationVersion, request: ExplainedRequest): RequestExplanation {
    const number = version.configuration.version;
    const matched = version.routes.find(request.method, request.target);
    if (!matched) {
        const finding = `no service and route match ${request.method} ${request.target}`;
        const steps = [refused("route", finding, "route-unknown")];
        return { version: number, steps, refusedWith: "route-unknown" };
    }
    const { route, service, serviceName } = matched;
    const caller = identify(version, request, route);
    const steps = [
        passes("route", `${serviceName} ${route.method} ${route.path}`),
        caller.step,
        ...checkAllowed(route, caller),
        ...describeRate(version, caller),
        depends(
            "capacity",
            `${service.slots} at once on each backend server; ${route.importance} requests are shed ${
                shedOrder(route)
            }`,
            "overloaded",
        ),
        depends("deadline", `${route.deadlineMs} ms, or less when the caller says so`, "deadline-exceeded"),
        passes("retries", describeRetries(service.retryBudget, route)),
    ];
    return {
        version: number,
        service: serviceName,
        route,
        organisation: caller.organisation,
        keyId: caller.keyId,
        importance: route.importance,
        retryBudget: service.retryBudget,
        steps,
        refusedWith: steps.find(step => step.verdict === "refused")?.refusedWith,
    };
}

function passes(step: ExplanationStep["step"], finding: string): ExplanationStep {
    return { step, finding, verdict: "passes" };
}

function refused(step: ExplanationStep["step"], finding: string, refusedWith: ResultName): ExplanationStep {
    return { step, finding, refusedWith, verdict: "refused" };
}

function depends(step: ExplanationStep["step"], finding: string, refusedWith: ResultName): ExplanationStep {
    return { step, finding, refusedWith, verdict: "depends" };
}

function identify(version: ConfigurationVersion, request: ExplainedRequest, route: Route): Caller {
    if (request.key !== undefined) {
        const identity = version.keys.find(request.key);
        if (identity) {
            const finding = `key ${identity.keyId} belongs to ${identity.organisation}`;
            return { step: passes("key", finding), organisation: identity.organisation, keyId: identity.keyId };
        }
        const finding = "the key is malformed, unknown or withdrawn";
        return {
            step: route.open ? passes("key", `${finding}; the route is open`) : refused("key", finding, "key-invalid"),
        };
    }
    if (request.organisation !== undefined) {
        return identifyByName(version, request.organisation);
    }
    return route.open ?
        { step: passes("key", "the route is open to all") } :
        { step: refused("key", "the route needs a key and none was given", "key-missing") };
}

function identifyByName(version: ConfigurationVersion, name: string): Caller {
    const keys = findOrganisation(version.configuration, name)?.keys.length ?? 0;
    const step = keys > 0 ?
        passes("key", `${name} has ${keys} published keys`) :
        refused("key", `${name} is not published or has no key`, "key-invalid");
    return { step, organisation: name };
}

function checkAllowed(route: Route, caller: Caller): ExplanationStep[] {
    if (caller.organisation === undefined || route.open) {
        return [];
    }
    const isAllowed = !route.organisations || route.organisations.includes(caller.organisation);
    return [
        isAllowed ?
            passes("organisation", `${caller.organisation} may use the route`) :
            refused("organisation", `only ${route.organisations?.join(", ")} may use it`, "organisation-not-allowed"),
    ];
}

function describeRate(version: ConfigurationVersion, caller: Caller): ExplanationStep[] {
    const limits = caller.organisation === undefined ?
        undefined :
        findOrganisation(version.configuration, caller.organisation);
    if (!limits) {
        return [];
    }
    const finding = `${limits.rate} a second and ${limits.burst} at once over all hosts`;
    return [depends("rate", finding, "rate-exceeded")];
}

function shedOrder(route: Route): string {
    switch (route.importance) {
        case "critical":
            return "last";
        case "normal":
            return "after background requests";
        case "background":
            return "first";
    }
}

function describeRetries(budget: number, route: Route): string {
    const kind = route.idempotent ? "idempotent: sent again after any lost connection" : "sent again only if not run";
    return `${kind}; at most ${budget} retries over the whole chain`;
}
