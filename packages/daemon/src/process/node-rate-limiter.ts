/**
 * Creates the rate limiter of a node.
 */
import { LeasedShareLimiter, readBootClockMs, StaticShareLimiter } from "@radishrouter/core";
import type { AuditTrail, Clock, ControlTransport, MembershipView, RateLimiter, ShareHost } from "@radishrouter/core";
import type { Settings } from "./settings.js";

/** Collaborators and settings of a rate limiter. */
export interface NodeRateLimiterDependencies {
    readonly settings: Settings;
    readonly clock: Clock;
    readonly transport: ControlTransport;
    readonly audit: AuditTrail;
    readonly incarnation: bigint;
    readonly membership: MembershipView;
}

/** Creates the kind of rate limiter that the settings select. */
export function createRateLimiter(dependencies: NodeRateLimiterDependencies): RateLimiter {
    const { settings, clock, transport, audit, incarnation, membership } = dependencies;
    switch (settings.rateLimiter) {
        case "static":
            return StaticShareLimiter.create(clock);
        case "leased":
            return LeasedShareLimiter.create({
                clock,
                transport,
                audit,
                ownName: settings.host,
                incarnation,
                seat: { failureDomain: settings.failureDomain, number: settings.seat },
                liveHosts: () => listLiveHosts(settings, membership),
                bootClockMs: readBootClockMs,
            });
    }
}

/** This host and its live peers, sorted by name. */
function listLiveHosts(settings: Settings, membership: MembershipView): ShareHost[] {
    const hosts = membership.livePeers().map(({ name, failureDomain }) => ({ name, failureDomain }));
    hosts.push({ name: settings.host, failureDomain: settings.failureDomain });
    return hosts.sort((left, right) => left.name < right.name ? -1 : 1);
}
