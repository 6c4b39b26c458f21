/**
 * Decides where a request runs, and whether it is sent again.
 */
import type { Clock, Host, LoadBalancer, MembershipView } from "@radishrouter/core";
import { RequestError } from "@radishrouter/core";
import { toRequestError } from "../request/problem-document.js";
import type { RequestBody } from "../request/request-body.js";
import type { Answer, RequestContext } from "../request/request-context.js";
import type { BackendRunner } from "./backend-runner.js";
import type { DrainState } from "./drain-state.js";
import type { PeerForwarder } from "./peer-forwarder.js";

/** Parts that a dispatcher works with. */
export interface RequestDispatcherParts {
    readonly clock: Clock;
    readonly ownService: string;
    readonly ownFailureDomain: string;
    readonly membership: MembershipView;
    readonly balancer: LoadBalancer;
    readonly runner: BackendRunner;
    readonly forwarder: PeerForwarder;
    readonly drain: DrainState;
    /** Whether the local backend server takes another request without waiting. */
    readonly hasLocalRoom: () => boolean;
}

type Target =
    | { readonly kind: "local"; }
    | { readonly kind: "peer"; readonly host: Host; };

const LOCAL_NAME = "";
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
        for (;;) {
            const target = this.choose(context, tried);
            tried.add(target.kind === "local" ? LOCAL_NAME : target.host.name);
            try {
                return await this.send(target, context, body);
            }
            catch (error) {
                const failure = toRequestError(error);
                if (!this.maySendAgain(failure, context, body, tried)) {
                    throw failure;
                }
            }
        }
    }

    private choose(context: RequestContext, tried: ReadonlySet<string>): Target {
        const service = context.matched.serviceName;
        const isLocal = this.mayRunHere(service, tried);
        if (isLocal && this.parts.hasLocalRoom()) {
            return { kind: "local" };
        }
        const peers = this.parts.membership.livePeersOf(service).filter(host => !tried.has(host.name));
        const near = peers.filter(host => host.failureDomain === this.parts.ownFailureDomain);
        const host = this.parts.balancer.choose(near.length > 0 ? near : peers);
        if (host) {
            return { kind: "peer", host };
        }
        if (isLocal) {
            return { kind: "local" };
        }
        throw RequestError.create("no-backend-server");
    }

    private async send(target: Target, context: RequestContext, body: RequestBody): Promise<Answer> {
        switch (target.kind) {
            case "local":
                return this.parts.runner.run(context, body);
            case "peer": {
                const startMs = this.parts.clock.nowMs();
                const end = this.parts.balancer.start(target.host);
                try {
                    return await this.parts.forwarder.forward(target.host, context, body);
                }
                finally {
                    end(this.parts.clock.nowMs() - startMs);
                }
            }
        }
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
        return isSafe && isWorthSendingAgain(failure) && (isFree(failure, tried) || context.retryBudget.trySpend());
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
}

/** Whether a send reached no backend server, so that another one adds no work; bounded by the hosts that are tried. */
function isFree(failure: RequestError, tried: ReadonlySet<string>): boolean {
    const reachedNone = failure.result.name === "no-backend-server" || failure.result.name === "node-stopping";
    return reachedNone && failure.execution === "not-run" && tried.size <= MAXIMUM_FREE_HOSTS;
}

function isWorthSendingAgain(failure: RequestError): boolean {
    switch (failure.result.name) {
        case "overloaded":
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
