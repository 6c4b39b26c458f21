/**
 * Numbered results of requests. Causes and suggested fixes are listed in docs/RESULT-CODES.md.
 */

/** Whether a request that was not completed can have run on a backend server. */
export type Execution = "not-run" | "unknown";

/** Definition of one numbered result, as callers get it. */
export interface ResultDefinition {
    readonly code: number;
    readonly name: string;
    readonly httpStatus: number;
    readonly execution: Execution;
    readonly title: string;
}

function define<Name extends string>(
    code: number,
    name: Name,
    httpStatus: number,
    execution: Execution,
    title: string,
): ResultDefinition & { readonly name: Name; } {
    return { code, name, httpStatus, execution, title };
}

/** All results that a node sends instead of a backend server's response. */
export const resultDefinitions = [
    define(1001, "malformed-request", 400, "not-run", "The request is malformed."),
    define(1002, "key-missing", 401, "not-run", "The route needs a key and none was sent."),
    define(1003, "key-invalid", 401, "not-run", "The key is not known or was withdrawn."),
    define(1004, "route-unknown", 404, "not-run", "No service or route matches the request."),
    define(1005, "organisation-not-allowed", 403, "not-run", "The organisation may not use this route."),
    define(1006, "body-too-large", 413, "not-run", "The body is larger than this node accepts."),
    define(1007, "sender-too-slow", 408, "not-run", "The request did not arrive in time."),
    define(1008, "internal-header", 400, "not-run", "The request carries a header reserved for nodes."),
    define(1009, "deadline-invalid", 400, "not-run", "The deadline header is not a positive number of milliseconds."),
    define(1010, "too-many-requests-open", 429, "not-run", "The caller has too many requests open."),
    define(1011, "handle-invalid", 403, "not-run", "The request handle is unknown or its request has ended."),
    define(1012, "peer-not-authenticated", 403, "not-run", "The sender is not a node of this deployment."),
    define(1013, "idempotency-key-invalid", 400, "not-run", "The idempotency key is malformed."),
    define(1014, "idempotency-key-reused", 422, "not-run", "The idempotency key was used for another request."),
    define(1015, "headers-too-large", 431, "not-run", "The headers are larger than this node accepts."),
    define(2001, "rate-exceeded", 429, "not-run", "The organisation is over its rate."),
    define(2002, "overloaded", 503, "not-run", "The service is at capacity."),
    define(2003, "deadline-too-near", 503, "not-run", "The request cannot be completed before its deadline."),
    define(2004, "downstream-overloaded", 503, "not-run", "A service further down the chain is at capacity."),
    define(2005, "no-backend-server", 503, "not-run", "No backend server of the service can be reached."),
    define(2006, "retries-exhausted", 503, "not-run", "The retry budget of the request is spent."),
    define(2007, "node-stopping", 503, "not-run", "The node is shutting down."),
    define(2008, "configuration-missing", 503, "not-run", "The node has no configuration yet."),
    define(2009, "request-quarantined", 503, "not-run", "The request is refused because it crashed backend servers."),
    define(2010, "duplicate-in-progress", 409, "unknown", "A request with the same idempotency key is running."),
    define(
        2011,
        "idempotency-home-unreachable",
        503,
        "unknown",
        "The node that owns the idempotency key cannot be asked.",
    ),
    define(3001, "deadline-exceeded", 504, "unknown", "The deadline passed while the request was running."),
    define(3002, "backend-connection-lost", 502, "unknown", "The connection to the backend server was lost."),
    define(3003, "peer-connection-lost", 502, "unknown", "The connection to another node was lost."),
    define(3004, "answer-truncated", 502, "unknown", "The answer ended early."),
    define(3005, "caller-gone", 499, "unknown", "The caller closed its connection."),
    define(3006, "outcome-unknown", 409, "unknown", "An earlier request with this idempotency key may have run."),
    define(
        3007,
        "key-withdrawn-during-answer",
        502,
        "unknown",
        "The key was withdrawn while the answer was being sent.",
    ),
    define(3008, "internal-error", 500, "unknown", "The node failed to handle the request."),
] as const;

/** Name of a numbered result. */
export type ResultName = (typeof resultDefinitions)[number]["name"];

const definitionsByName = new Map<string, ResultDefinition>(
    resultDefinitions.map(definition => [definition.name, definition]),
);

/** Returns the definition of a result by its name. */
export function resultDefinition(name: ResultName): ResultDefinition {
    return definitionsByName.get(name)!;
}

const namesByCode = new Map<number, ResultName>(
    resultDefinitions.map(definition => [definition.code, definition.name]),
);

/** Returns the name of a result by its number; undefined for an unknown number. */
export function resultNameOf(code: number): ResultName | undefined {
    return namesByCode.get(code);
}

/**
 * Error of a request that ends without a response from a backend server.
 *
 * `execution` defaults to the value of the result; a node that knows that the request never reached a backend server
 * overrides it with `not-run`.
 */
export class RequestError extends Error {
    readonly result: ResultDefinition;
    readonly execution: Execution;
    /** Milliseconds after which the caller should retry. */
    readonly retryAfterMs: number | undefined;

    private constructor(result: ResultDefinition, execution: Execution, detail: string, retryAfterMs?: number) {
        super(detail);
        this.name = "RequestError";
        this.result = result;
        this.execution = execution;
        this.retryAfterMs = retryAfterMs;
    }

    /** Creates the error of a result; `detail` explains this case and defaults to the title of the result. */
    static create(
        name: ResultName,
        options: { detail?: string; execution?: Execution; retryAfterMs?: number; } = {},
    ): RequestError {
        const result = resultDefinition(name);
        return withoutStackTrace(() =>
            new RequestError(
                result,
                options.execution ?? result.execution,
                options.detail ?? result.title,
                options.retryAfterMs,
            )
        );
    }
}

/** Creates an error without a stack trace, which takes a good part of the time of a refusal and shows no fault. */
function withoutStackTrace<Result extends Error>(create: () => Result): Result {
    const { stackTraceLimit } = Error;
    Error.stackTraceLimit = 0;
    try {
        return create();
    }
    finally {
        Error.stackTraceLimit = stackTraceLimit;
    }
}
