/**
 * Decides where a request runs, and whether it is sent again.
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
import { pauseWhileSending } from "../request/request-body.js";
import type { RequestBody } from "../request/request-body.js";
import type { Answer, RequestContext } from "../request/request-context.js";
import type { BackendRunner } from "./backend-runner.js";
import type { DrainState } from "./drain-state.js";
import type { PeerForwarder } from "./peer-forwarder.js";

/** Parts that a dispatcher works with. */
export interface RequestDispatcherParts {
    readonly clock: Clock;
    readonly ownName: string;
    readonly ownService: string;
    readonly location: SenderLocation;
    readonly membership: MembershipView;
    readonly balancer: LoadBalancer;
    readonly runner: BackendRunner;
    readonly forwarder: PeerForwarder;
    readonly drain: DrainState;
    /** Whether the local backend server takes another request without waiting. */
    readonly hasLocalRoom: () => boolean;
    /** Whether retries are counted over the whole chain; otherwise each hop has the whole budget, as a baseline. */
    readonly sharesRetries: boolean;
}

type Target =
    | { readonly kind: "local"; }
    | { readonly kind: "peer"; readonly host: Host; };

const LOCAL_NAME = "";
/** Shortest time that an attempt on the local backend server gets. */
const LOCAL_ATTEMPT_MS = 600;
/** Hosts that one request may find without a backend server before its retries are used. */
const MAXIMUM_FREE_HOSTS = 3;
/** Backend servers that one request may lose; after that it is not sent again, since it may crash them. */
const MAXIMUM_BACKENDS_LOST = 2;

/** Sends each request to the local backend server or to a peer, and again where that is safe. */
export class RequestDispatcher {
    private constructor(private readonly parts: RequestDispatcherParts) {}

    static create(parts: RequestDispatcherParts): RequestDispatcher {
        return new RequestDispatcher(parts);
    }

    /**
     * Sends a request until it is answered or must not be sent again.
     *
     * @throws RequestError when the request was refused or its outcome is unknown.
     */
    async dispatch(context: RequestContext, body: RequestBody): Promise<Answer> {
        const tried = new Set<string>();
        const hopBudget = RetryBudget.create(context.matched.service.retryBudget);
        const budget = this.parts.sharesRetries ? context.retryBudget : hopBudget;
        let isRepeat = this.parts.sharesRetries && context.isRepeat;
        let mayHaveRun = false;
        if (isRepeat && !budget.trySpend()) {
            throw RequestError.create("retries-exhausted");
        }
        for (;;) {
            try {
                const target = this.choose(context, tried);
                tried.add(target.kind === "local" ? LOCAL_NAME : target.host.name);
                const answer = await this.send(target, { ...context, isRepeat }, body, budget);
                const isLast = this.parts.sharesRetries || answer.status < 500 ||
                    !this.mayRepeat(context, body, tried) || !budget.trySpend();
                if (isLast) {
                    return answer;
                }
                answer.body.destroy();
            }
            catch (error) {
                const failure = toRequestError(error);
                mayHaveRun ||= failure.execution === "unknown";
                const mayBeSent = this.maySendAgain(failure, context, body, tried);
                if (!mayBeSent || !(isFree(failure, tried) || budget.trySpend())) {
                    throw mayHaveRun ? asUnknown(failure) : failure;
                }
                isRepeat ||= this.parts.sharesRetries && failure.execution === "unknown";
            }
        }
    }

    private choose(context: RequestContext, tried: ReadonlySet<string>): Target {
        const service = context.matched.serviceName;
        const { balancer, location, ownName } = this.parts;
        const isLocal = this.mayRunHere(service, tried);
        const isRepeatable = context.matched.route.idempotent;
        const isLocalUsable = isLocal && !balancer.isUnresponsive(ownName);
        if (isLocalUsable && this.parts.hasLocalRoom()) {
            return { kind: "local" };
        }
        if (isLocal && isRepeatable && balancer.isProbeDue(ownName)) {
            return { kind: "local" };
        }
        const peers = this.parts.membership.livePeersOf(service).filter(host => !tried.has(host.name));
        const host = balancer.choose(peers, location, isRepeatable);
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
    ): Promise<Answer> {
        switch (target.kind) {
            case "local":
                return this.runHere(context, body, budget);
            case "peer": {
                const open = this.parts.balancer.start(target.host.name);
                pauseWhileSending(open, body);
                return this.forward(target.host, open, context, body, budget);
            }
        }
    }

    /** Runs a request here and abandons the attempt when the backend server hangs and the request may go elsewhere. */
    private async runHere(context: RequestContext, body: RequestBody, budget: RetryBudget): Promise<Answer> {
        const { clock, balancer, ownName } = this.parts;
        const startMs = clock.nowMs();
        const attempt = AttemptLifetime.create(clock, context.signal, {
            isUnresponsive: () => balancer.isUnresponsive(ownName) && clock.nowMs() - startMs > LOCAL_ATTEMPT_MS,
            mayAbandon: () => budget.left > 0 && this.mayRepeat(context, body, new Set([LOCAL_NAME])),
        });
        try {
            return await this.parts.runner.run({ ...context, signal: attempt.signal }, body);
        }
        finally {
            attempt.end();
        }
    }

    /** Forwards a request and abandons the attempt when its host hangs and the request may be sent elsewhere. */
    private async forward(
        host: Host,
        open: PendingAttempt,
        context: RequestContext,
        body: RequestBody,
        budget: RetryBudget,
    ): Promise<Answer> {
        const attempt = AttemptLifetime.create(this.parts.clock, context.signal, {
            isUnresponsive: () => open.isHostUnresponsive(),
            mayAbandon: () => budget.left > 0 && this.mayRepeat(context, body, new Set([host.name])),
        });
        try {
            const forwarded = { ...context, signal: attempt.signal, retryBudget: this.budgetToShare(budget) };
            return await this.parts.forwarder.forward(host, forwarded, body, {
                onAnswer: outcome => open.end(outcome),
            });
        }
        catch (error) {
            open.end(attempt.signal.aborted ? { kind: "abandoned" } : { kind: "failed" });
            throw error;
        }
        finally {
            attempt.end();
        }
    }

    private budgetToShare(budget: RetryBudget): RetryBudget {
        return this.parts.sharesRetries ? budget : RetryBudget.create(0);
    }

    private maySendAgain(
        failure: RequestError,
        context: RequestContext,
        body: RequestBody,
        tried: ReadonlySet<string>,
    ): boolean {
        if (context.signal.aborted || body.kind === "streamed" || !this.hasOther(context, tried)) {
            return false;
        }
        if (failure.result.name === "backend-connection-lost" && tried.size >= MAXIMUM_BACKENDS_LOST) {
            return false;
        }
        const isSafe = failure.execution === "not-run" || context.matched.route.idempotent;
        return isSafe && this.isWorthSendingAgain(failure, context, tried);
    }

    /** Whether a request that may have run can be sent to another backend server. */
    private mayRepeat(context: RequestContext, body: RequestBody, tried: ReadonlySet<string>): boolean {
        return !context.signal.aborted && body.kind !== "streamed" && context.matched.route.idempotent &&
            this.hasOther(context, tried);
    }

    private hasOther(context: RequestContext, tried: ReadonlySet<string>): boolean {
        const service = context.matched.serviceName;
        return this.parts.membership.livePeersOf(service).some(host => !tried.has(host.name)) ||
            this.mayRunHere(service, tried);
    }

    private mayRunHere(service: string, tried: ReadonlySet<string>): boolean {
        const { ownService, drain } = this.parts;
        return service === ownService && drain.stage !== "stopping" && !tried.has(LOCAL_NAME);
    }

    private isWorthSendingAgain(
        failure: RequestError,
        context: RequestContext,
        tried: ReadonlySet<string>,
    ): boolean {
        switch (failure.result.name) {
            case "overloaded":
                return !this.parts.sharesRetries || this.hasOtherWithRoom(context, tried);
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

    /** Whether another backend server is not known to be full; sending to a full one would only add to the load. */
    private hasOtherWithRoom(context: RequestContext, tried: ReadonlySet<string>): boolean {
        const service = context.matched.serviceName;
        return this.parts.membership.livePeersOf(service)
            .some(host => !tried.has(host.name) && this.parts.balancer.hasCapacity(host.name));
    }
}

/** Whether a send reached no backend server, so that another one adds no work; bounded by the hosts that are tried. */
function isFree(failure: RequestError, tried: ReadonlySet<string>): boolean {
    const reachedNone = failure.result.name === "no-backend-server" || failure.result.name === "node-stopping";
    return reachedNone && failure.execution === "not-run" && tried.size <= MAXIMUM_FREE_HOSTS;
}

/** The failure of a request of which an earlier attempt may have run. */
function asUnknown(failure: RequestError): RequestError {
    const { retryAfterMs, message: detail } = failure;
    return RequestError.create(failure.result.name as ResultName, { detail, execution: "unknown", retryAfterMs });
}
