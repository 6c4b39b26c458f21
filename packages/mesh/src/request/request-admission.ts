/**
 * Decides whether a request of a caller is served: which route, whose key, with what load, within which rate.
 */
import { RequestError } from "@radishrouter/core";
import type { TokenBroker } from "../connection/token-broker.js";
import type { DownstreamThrottle } from "../process/downstream-throttle.js";
import type { ProcessOverloadGuard } from "../process/process-overload-guard.js";
import type { ConfigurationLease } from "../version/configuration-lease.js";
import type { IndexedConfiguration } from "../version/indexed-configuration.js";
import type { Organisation, Route } from "../version/mesh-configuration.js";
import type { WeightedRoundRobin } from "../version/weighted-round-robin.js";

/** Parts that the decision works with. */
export interface RequestAdmissionDependencies {
    readonly version: () => IndexedConfiguration | undefined;
    readonly lease: ConfigurationLease;
    readonly broker: TokenBroker;
    readonly overloadGuard: ProcessOverloadGuard;
    readonly throttle: DownstreamThrottle;
    readonly roundRobin: WeightedRoundRobin;
}

/** A request whose route is known. */
export interface RoutedRequest {
    readonly version: IndexedConfiguration;
    readonly route: Route;
}

/** A request whose organisation is known. */
export interface AuthenticatedRequest extends RoutedRequest {
    /** Organisation of the caller's key; undefined where none is needed. */
    readonly organisation: Organisation | undefined;
}

/** A request that is to be served. */
export interface AdmittedRequest extends AuthenticatedRequest {
    /** Service that the route's split chose. */
    readonly service: string;
    /** Whether the request is part of another one that already runs somewhere. */
    readonly isOnwardCall: boolean;
}

const RETRY_AFTER_WITHOUT_CONFIGURATION_MS = 500;
const PERCENT = 100;

/** Admits requests of callers, or says why not. All its refusals are made before anything is sent. */
export class RequestAdmission {
    private constructor(private readonly parts: RequestAdmissionDependencies) {}

    static create(parts: RequestAdmissionDependencies): RequestAdmission {
        return new RequestAdmission(parts);
    }

    /**
     * Finds the route of a request by its `Host` header and its path.
     *
     * @throws RequestError when there is none, or no configuration yet.
     */
    findRoute(hostHeader: string, target: string): RoutedRequest {
        const version = this.parts.version();
        if (!version) {
            throw RequestError.create("configuration-missing", { retryAfterMs: RETRY_AFTER_WITHOUT_CONFIGURATION_MS });
        }
        const route = version.routes.find(hostHeader, target);
        if (!route || !target.startsWith("/")) {
            throw RequestError.create("route-unknown", {
                detail: `no route in version ${version.configuration.version}`,
            });
        }
        return { version, route };
    }

    /**
     * Finds the organisation that a routed request is of, by its key.
     *
     * @throws RequestError when a key is needed and none is held by an organisation, or keys cannot be proved current.
     */
    authenticate(routed: RoutedRequest, key: string | undefined): AuthenticatedRequest {
        const { version, route } = routed;
        return { version, route, organisation: this.findOrganisation(version, route, key) };
    }

    /**
     * Decides about a request; waits only while other hosts are asked for tokens of its organisation.
     *
     * @throws RequestError when it is refused.
     */
    async admit(identified: AuthenticatedRequest): Promise<AdmittedRequest> {
        const { version, route, organisation } = identified;
        const service = this.parts.roundRobin.next(route);
        const isOnwardCall = version.requiresKeys && route.isPublic;
        if (!isOnwardCall) {
            this.shed(service, priorityOf(identified));
        }
        if (organisation) {
            await this.keepWithinRate(organisation);
        }
        return { version, route, organisation, service, isOnwardCall };
    }

    private findOrganisation(
        version: IndexedConfiguration,
        route: Route,
        key: string | undefined,
    ): Organisation | undefined {
        // Onward calls carry no key; where keys are needed, public routes are theirs.
        if (!version.requiresKeys || route.isPublic) {
            return undefined;
        }
        const { lease } = this.parts;
        if (!lease.isValid()) {
            throw RequestError.create("configuration-missing", {
                detail: `the configuration was last proved current ${Math.round(lease.ageMs())} ms ago`,
                retryAfterMs: RETRY_AFTER_WITHOUT_CONFIGURATION_MS,
            });
        }
        const organisation = key === undefined ? undefined : version.findOrganisationByKey(key);
        if (!organisation) {
            throw RequestError.create(key === undefined ? "key-missing" : "key-invalid");
        }
        return organisation;
    }

    /** Refuses a new request that this node or the services below its own cannot carry. */
    private shed(service: string, priority: number): void {
        const guarded = this.parts.overloadGuard.decide(priority);
        if (guarded.kind === "refused") {
            const detail = `this node is ${Math.round(guarded.lagMs)} ms behind`;
            throw RequestError.create("overloaded", { detail, retryAfterMs: guarded.retryAfterMs });
        }
        const throttled = this.parts.throttle.decide(service, priority);
        if (throttled.kind === "refused") {
            const detail = `${Math.round(throttled.pressure * PERCENT)}% of the onward calls of ${service} are ` +
                `refused; ${Math.round(throttled.admittedFraction * PERCENT)}% of its requests are admitted`;
            throw RequestError.create("downstream-overloaded", { detail, retryAfterMs: throttled.retryAfterMs });
        }
    }

    private async keepWithinRate(organisation: Organisation): Promise<void> {
        const decision = await this.parts.broker.take(organisation);
        if (decision.kind === "over") {
            throw RequestError.create("rate-exceeded", {
                detail: `${organisation.name} is over its rate`,
                retryAfterMs: decision.retryAfterMs,
            });
        }
    }
}

/** Priority of a request; that of its organisation goes before that of its route. */
export function priorityOf({ organisation, route }: AuthenticatedRequest): number {
    return organisation?.priority ?? route.priority;
}
