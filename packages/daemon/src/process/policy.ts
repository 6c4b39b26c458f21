/**
 * Overload policies of a node; single policies can be switched off to measure their effect.
 */
import { z } from "zod";

/** One policy that can be switched off. */
export const policyNameSchema = z.enum([
    /** Concurrency limit and queue in front of the local backend server. */
    "concurrency-limit",
    /** Concurrency limit below the published slots when latency shows contention. */
    "adaptive-limit",
    /** Queue order and shedding by organisation; without it the queue serves by importance and arrival. */
    "fair-queue",
    /** Shedding at the entry node by the downstream pressure that responses report. */
    "chain-feedback",
    /** One retry budget for the whole call chain; without it each hop has the full budget. */
    "shared-retries",
    /** Choice of backend server by observed load and responses; without it the choice is random. */
    "load-balancing",
    /** Deadline of the caller passed on with downstream calls; without it each hop uses the deadline of its route. */
    "shared-deadline",
]);

/** Active policies: all (`full`), none (`plain`: forwarding with retries at each hop), or all but the named ones. */
export const policySchema = z.union([
    z.enum(["full", "plain"]),
    z.strictObject({ without: z.array(policyNameSchema) }),
]);

/** Name of a policy; see {@link policyNameSchema}. */
export type PolicyName = z.infer<typeof policyNameSchema>;
/** Active policies; see {@link policySchema}. */
export type Policy = z.infer<typeof policySchema>;

/** Whether a policy is active. */
export function isPolicyActive(policy: Policy, name: PolicyName): boolean {
    if (typeof policy === "string") {
        return policy === "full";
    }
    return !policy.without.includes(name);
}
