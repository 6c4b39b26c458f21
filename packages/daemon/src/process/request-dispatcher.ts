/**
 * Decides where a request runs and whether it is retried.
 */
import type {
    Clock,
    Host,
    LoadBalancer,
    MembershipView,
    PendingAttempt,
    ResultName,
    SenderLocation,
} from "@radishrouter/core";
import { RequestError, RetryBudget } from "@radishrouter/core";
import { AttemptLifetime } from "../request/attempt-lifetime.js";
import { toRequestError } from "../request/problem-document.js";
import { excludeUploadTime } from "../request/request-body.js";
import type { RequestBody } from "../request/request-body.js";
import type { BackendResponse, RequestContext } from "../request/request-context.js";
import type { BackendRunner } from "./backend-runner.js";
import type { DrainState } from "./drain-state.js";
import type { PeerForwarder } from "./peer-forwarder.js";

/** Collaborators and settings of a dispatcher. */
export interface RequestDispatcherDependencies {
    readonly clock: Clock;
    readonly localHostName: string;
    readonly localService: string;
    readonly location: SenderLocation;
    readonly membership: MembershipView;
    readonly balancer: LoadBalancer;
    readonly runner: BackendRunner;
    readonly forwarder: PeerForwarder;
    readonly drain: DrainState;
    /** Whether the local backend server can run another request without queueing it. */
    readonly hasLocalCapacity: () => boolean;
    /** Whether one retry budget covers the whole call chain; otherwise each hop has the full budget, as a baseline. */
    readonly sharesRetryBudget: boolean;
}

type Target =
    | { readonly kind: "local"; }
    | { readonly kind: "peer"; readonly host: Host; };

/** Stands for the local backend server among the names of tried hosts. */
const LOCAL_SERVER_NAME = "";
/** Minimum time before an attempt on the local backend server can be abandoned. */
const MINIMUM_LOCAL_ATTEMPT_MS = 600;
/** Number of tried hosts up to which a retry uses no retry budget if the attempt reached no backend server. */
const MAXIMUM_UNCHARGED_HOSTS = 3;
/** Number of tried servers from which on a lost connection is not retried, since the request may crash servers. */
const MAXIMUM_LOST_BACKENDS = 2;

/** Sends each request to the local backend server or to a peer, and retries it where that is safe. */
export class RequestDispatcher {
    private constructor(private readonly dependencies: RequestDispatcherDependencies) {}

    static create(dependencies: RequestDispatcherDependencies): RequestDispatcher {
        return new RequestDispatcher(dependencies);
    }

    /**
     * Sends a request until it gets a response or must not be retried.
     *
     * @throws RequestError when the request was refused or its outcome is unknown.
     */
    async dispatch(context: RequestContext, body: RequestBody): Promise<BackendResponse> {
        const tried = new Set<string>();
        const hopBudget = RetryBudget.create(context.matched.service.retryBudget);
        const budget = this.dependencies.sharesRetryBudget ? context.retryBudget : hopBudget;
        let isRepeat = this.dependencies.sharesRetryBudget && context.isRepeat;
        let mayHaveRun = false;
        if (isRepeat && !budget.trySpend()) {
            throw RequestError.create("retries-exhausted");
        }
        for (;;) {
            try {
                const target = this.chooseTarget(context, tried);
                tried.add(target.kind === "local" ? LOCAL_SERVER_NAME : target.host.name);
                const response = await this.send(target, { ...context, isRepeat }, body, budget);
                const isFinal = this.dependencies.sharesRetryBudget || response.status < 500 ||
                    !this.mayRetryExecuted(context, body, tried) || !budget.trySpend();
                if (isFinal) {
                    return response;
                }
                response.body.destroy();
            }
            catch (error) {
                const failure = toRequestError(error);
                mayHaveRun ||= failure.execution === "unknown";
                const mayRetry = this.mayRetryFailed(failure, context, body, tried);
                if (!mayRetry || !(isUnchargedRetry(failure, tried) || budget.trySpend())) {
                    throw mayHaveRun ? withUnknownExecution(failure) : failure;
                }
                isRepeat ||= this.dependencies.sharesRetryBudget && failure.execution === "unknown";
            }
        }
    }

    private chooseTarget(context: RequestContext, tried: ReadonlySet<string>): Target {
        const service = context.matched.serviceName;
        const { balancer, location, localHostName } = this.dependencies;
        const isLocal = this.mayRunLocally(service, tried);
        const isIdempotent = context.matched.route.idempotent;
        const isLocalUsable = isLocal && !balancer.isUnresponsive(localHostName);
        if (isLocalUsable && this.dependencies.hasLocalCapacity()) {
            return { kind: "local" };
        }
        if (isLocal && isIdempotent && balancer.isProbeDue(localHostName)) {
            return { kind: "local" };
        }
        const peers = this.dependencies.membership.livePeersOf(service).filter(host => !tried.has(host.name));
        const host = balancer.choose(peers, location, isIdempotent);
        if (isLocalUsable && (!host || !balancer.hasCapacity(host.name))) {
            return { kind: "local" };
        }
        if (host) {
            return { kind: "peer", host };
        }
        if (isLocal) {
            return { kind: "local" };
        }
        throw RequestError.create("no-backend-server");
    }

    private async send(
        target: Target,
        context: RequestContext,
        body: RequestBody,
        budget: RetryBudget,
    ): Promise<BackendResponse> {
        switch (target.kind) {
            case "local":
                return this.runLocally(context, body, budget);
            case "peer": {
                const pendingAttempt = this.dependencies.balancer.start(target.host.name);
                excludeUploadTime(pendingAttempt, body);
                return this.forward(target.host, pendingAttempt, context, body, budget);
            }
        }
    }

    /** Runs a request locally; abandons the attempt when the server is unresponsive and another one may be tried. */
    private async runLocally(
        context: RequestContext,
        body: RequestBody,
        budget: RetryBudget,
    ): Promise<BackendResponse> {
        const { clock, balancer, localHostName } = this.dependencies;
        const startMs = clock.nowMs();
        const lifetime = AttemptLifetime.create(clock, context.signal, {
            isUnresponsive: () =>
                balancer.isUnresponsive(localHostName) && clock.nowMs() - startMs > MINIMUM_LOCAL_ATTEMPT_MS,
            mayAbandon: () => budget.left > 0 && this.mayRetryExecuted(context, body, new Set([LOCAL_SERVER_NAME])),
        });
        try {
            return await this.dependencies.runner.run({ ...context, signal: lifetime.signal }, body);
        }
        finally {
            lifetime.end();
        }
    }

    /** Forwards a request; abandons the attempt when the host is unresponsive and another one may be tried. */
    private async forward(
        host: Host,
        pendingAttempt: PendingAttempt,
        context: RequestContext,
        body: RequestBody,
        budget: RetryBudget,
    ): Promise<BackendResponse> {
        const lifetime = AttemptLifetime.create(this.dependencies.clock, context.signal, {
            isUnresponsive: () => pendingAttempt.isHostUnresponsive(),
            mayAbandon: () => budget.left > 0 && this.mayRetryExecuted(context, body, new Set([host.name])),
        });
        try {
            const forwarded = { ...context, signal: lifetime.signal, retryBudget: this.budgetForPeer(budget) };
            return await this.dependencies.forwarder.forward(host, forwarded, body, {
                onOutcome: outcome => pendingAttempt.end(outcome),
            });
        }
        catch (error) {
            pendingAttempt.end(lifetime.signal.aborted ? { kind: "abandoned" } : { kind: "failed" });
            throw error;
        }
        finally {
            lifetime.end();
        }
    }

    private budgetForPeer(budget: RetryBudget): RetryBudget {
        return this.dependencies.sharesRetryBudget ? budget : RetryBudget.create(0);
    }

    private mayRetryFailed(
        failure: RequestError,
        context: RequestContext,
        body: RequestBody,
        tried: ReadonlySet<string>,
    ): boolean {
        if (context.signal.aborted || body.kind === "streamed" || !this.hasUntriedServer(context, tried)) {
            return false;
        }
        if (failure.result.name === "backend-connection-lost" && tried.size >= MAXIMUM_LOST_BACKENDS) {
            return false;
        }
        const isSafe = failure.execution === "not-run" || context.matched.route.idempotent;
        return isSafe && this.isWorthRetrying(failure, context, tried);
    }

    /** Whether a request that may have run can be retried on another backend server. */
    private mayRetryExecuted(context: RequestContext, body: RequestBody, tried: ReadonlySet<string>): boolean {
        return !context.signal.aborted && body.kind !== "streamed" && context.matched.route.idempotent &&
            this.hasUntriedServer(context, tried);
    }

    private hasUntriedServer(context: RequestContext, tried: ReadonlySet<string>): boolean {
        const service = context.matched.serviceName;
        return this.dependencies.membership.livePeersOf(service).some(host => !tried.has(host.name)) ||
            this.mayRunLocally(service, tried);
    }

    private mayRunLocally(service: string, tried: ReadonlySet<string>): boolean {
        const { localService, drain } = this.dependencies;
        return service === localService && drain.stage !== "stopping" && !tried.has(LOCAL_SERVER_NAME);
    }

    private isWorthRetrying(
        failure: RequestError,
        context: RequestContext,
        tried: ReadonlySet<string>,
    ): boolean {
        switch (failure.result.name) {
            case "overloaded":
                return !this.dependencies.sharesRetryBudget || this.hasUntriedPeerWithCapacity(context, tried);
            case "no-backend-server":
            case "node-stopping":
            case "backend-connection-lost":
            case "peer-connection-lost":
            case "configuration-missing":
                return true;
            default:
                return false;
        }
    }

    /** Whether an untried peer may have capacity; a retry on a full peer would only add to the load. */
    private hasUntriedPeerWithCapacity(context: RequestContext, tried: ReadonlySet<string>): boolean {
        const service = context.matched.serviceName;
        return this.dependencies.membership.livePeersOf(service)
            .some(host => !tried.has(host.name) && this.dependencies.balancer.hasCapacity(host.name));
    }
}

/**
 * Whether a retry needs no retry budget: the failed attempt reached no backend server, so a retry adds no load. The
 * number of tried hosts bounds such retries.
 */
function isUnchargedRetry(failure: RequestError, tried: ReadonlySet<string>): boolean {
    const reachedNone = failure.result.name === "no-backend-server" || failure.result.name === "node-stopping";
    return reachedNone && failure.execution === "not-run" && tried.size <= MAXIMUM_UNCHARGED_HOSTS;
}

/** Copy of a failure with the execution reported as unknown, since an earlier attempt may have run the request. */
function withUnknownExecution(failure: RequestError): RequestError {
    const { retryAfterMs, message: detail } = failure;
    return RequestError.create(failure.result.name as ResultName, { detail, execution: "unknown", retryAfterMs });
}
