/**
 * Decides whether a request of a caller is served, by its route, its key, the current load and its organisation's rate.
 */
import { RequestError } from "@radishrouter/core";
import type { TokenBroker } from "../connection/token-broker.js";
import { weightOfRate } from "../process/organisation-weight.js";
import type { RequestThrottle } from "../process/overload-signal.js";
import type { ProcessOverloadGuard } from "../process/process-overload-guard.js";
import type { ConfigurationLease } from "../version/configuration-lease.js";
import type { IndexedConfiguration } from "../version/indexed-configuration.js";
import type { Organisation, Route } from "../version/mesh-configuration.js";
import type { WeightedRoundRobin } from "../version/weighted-round-robin.js";

/** Components that the decision uses. */
export interface RequestAdmissionDependencies {
    readonly version: () => IndexedConfiguration | undefined;
    readonly lease: ConfigurationLease;
    readonly broker: TokenBroker;
    readonly overloadGuard: ProcessOverloadGuard;
    readonly throttle: RequestThrottle;
    readonly roundRobin: WeightedRoundRobin;
}

/** A request whose route is known. */
export interface RoutedRequest {
    readonly version: IndexedConfiguration;
    readonly route: Route;
}

/** A request whose key was checked. */
export interface AuthenticatedRequest extends RoutedRequest {
    /** Organisation of the caller's key; undefined where no key is needed. */
    readonly organisation: Organisation | undefined;
}

/** A request that was admitted. */
export interface AdmittedRequest extends AuthenticatedRequest {
    /** Service that was chosen among the route's destinations. */
    readonly service: string;
    /** Whether the request is a downstream call: a call that a backend server makes while it serves a request. */
    readonly isOnwardCall: boolean;
}

const RETRY_AFTER_WITHOUT_CONFIGURATION_MS = 500;
const PERCENT = 100;

/** Admits requests of callers or refuses them with a reason, before anything is sent to a backend server. */
export class RequestAdmission {
    private constructor(private readonly dependencies: RequestAdmissionDependencies) {}

    static create(dependencies: RequestAdmissionDependencies): RequestAdmission {
        return new RequestAdmission(dependencies);
    }

    /**
     * Finds the route of a request by its `Host` header and its path.
     *
     * @throws RequestError when no route matches, or when there is no configuration yet.
     */
    findRoute(hostHeader: string, target: string): RoutedRequest {
        const version = this.dependencies.version();
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
     * Finds the organisation of a routed request by its key.
     *
     * @throws RequestError when a needed key is missing or unknown, or when keys cannot be proved current.
     */
    authenticate(routed: RoutedRequest, key: string | undefined): AuthenticatedRequest {
        const { version, route } = routed;
        return { version, route, organisation: this.findOrganisation(version, route, key) };
    }

    /**
     * Decides whether a request is admitted; waits only while its organisation's tokens are requested from other hosts.
     *
     * @throws RequestError when it is refused.
     */
    async admit(request: AuthenticatedRequest): Promise<AdmittedRequest> {
        const { version, route, organisation } = request;
        const service = this.dependencies.roundRobin.next(route);
        const isOnwardCall = version.requiresKeys && route.isPublic;
        if (!isOnwardCall) {
            this.rejectIfOverloaded(service, request);
        }
        if (organisation) {
            await this.enforceRate(organisation);
        }
        return { version, route, organisation, service, isOnwardCall };
    }

    private findOrganisation(
        version: IndexedConfiguration,
        route: Route,
        key: string | undefined,
    ): Organisation | undefined {
        // Downstream calls carry no key; where keys are needed, they use the public routes.
        if (!version.requiresKeys || route.isPublic) {
            return undefined;
        }
        const { lease } = this.dependencies;
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

    /** Refuses a new request while this node or the services downstream of the chosen one are overloaded. */
    private rejectIfOverloaded(service: string, request: AuthenticatedRequest): void {
        const { organisation } = request;
        const priority = priorityOf(request);
        const overloadDecision = this.dependencies.overloadGuard.decide(priority);
        if (overloadDecision.kind === "refused") {
            const detail = `this node is ${Math.round(overloadDecision.lagMs)} ms behind`;
            throw RequestError.create("overloaded", { detail, retryAfterMs: overloadDecision.retryAfterMs });
        }
        const throttleDecision = this.dependencies.throttle.decide(
            service,
            priority,
            organisation?.name,
            organisation && weightOfRate(organisation.ratePerSecond),
        );
        if (throttleDecision.kind === "refused") {
            const detail =
                `${Math.round(throttleDecision.pressure * PERCENT)}% of the load of ${service} is more than the ` +
                `services below it take; ${
                    Math.round(throttleDecision.admittedFraction * PERCENT)
                }% of the requests of ` +
                `${organisation?.name ?? "callers"} at priority ${priority} are admitted`;
            throw RequestError.create("downstream-overloaded", { detail, retryAfterMs: throttleDecision.retryAfterMs });
        }
    }

    private async enforceRate(organisation: Organisation): Promise<void> {
        const decision = await this.dependencies.broker.take(organisation);
        switch (decision.kind) {
            case "within":
                return;
            case "over":
                throw RequestError.create("rate-exceeded", {
                    detail: `${organisation.name} is over its rate`,
                    retryAfterMs: decision.retryAfterMs,
                });
            case "withdrawn":
                throw RequestError.create("key-invalid", {
                    detail: `${organisation.name} was withdrawn while its tokens were asked for`,
                });
        }
    }
}

/** Priority of a request; the priority of its organisation takes precedence over that of its route. */
export function priorityOf({ organisation, route }: AuthenticatedRequest): number {
    return organisation?.priority ?? route.priority;
}
