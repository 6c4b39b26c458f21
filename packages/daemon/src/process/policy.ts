/**
 * Which overload policies of a node are in force; for measuring what each is worth.
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
    /** Shedding where requests enter by what answers tell of services further down the chain. */
    "chain-feedback",
    /** Retries counted over the whole chain; without it each hop has the whole budget. */
    "shared-retries",
    /** Choice of backend server by what was observed; without it the choice is random. */
    "load-balancing",
    /** Deadline of the caller passed down the chain; without it each hop has the route's own. */
    "shared-deadline",
]);

/** Policies in force: all, none (plain forwarding with retries at each hop), or all but some. */
export const policySchema = z.union([
    z.enum(["full", "plain"]),
    z.strictObject({ without: z.array(policyNameSchema) }),
]);

/** Name of a policy; see {@link policyNameSchema}. */
export type PolicyName = z.infer<typeof policyNameSchema>;
/** Policies in force; see {@link policySchema}. */
export type Policy = z.infer<typeof policySchema>;

/** Whether a policy is in force. */
export function isInForce(policy: Policy, name: PolicyName): boolean {
    if (typeof policy === "string") {
        return policy === "full";
    }
    return !policy.without.includes(name);
}
