/**
 * Proof that a peer belongs to the deployment.
 */
import { createHmac, timingSafeEqual } from "node:crypto";

/** Creates and checks proofs with the secret that all nodes of a deployment share. */
export class DeploymentProof {
    private readonly proofs = new Map<string, Buffer>();

    private constructor(private readonly secret: string) {}

    static create(secret: string): DeploymentProof {
        return new DeploymentProof(secret);
    }

    /** Proof that a host attaches to its requests and control streams to peers. */
    proofOf(host: string): Buffer {
        let proof = this.proofs.get(host);
        if (!proof) {
            proof = this.compute(host);
            this.proofs.set(host, proof);
        }
        return proof;
    }

    /** Whether a proof belongs to a host. */
    verify(host: string, proof: Uint8Array): boolean {
        const expected = this.proofs.get(host) ?? this.compute(host);
        const isValid = proof.length === expected.length && timingSafeEqual(expected, proof);
        if (isValid) {
            // Only valid proofs are cached, so that clients without the secret cannot fill the memory with host names.
            this.proofs.set(host, expected);
        }
        return isValid;
    }

    private compute(host: string): Buffer {
        return createHmac("sha256", this.secret).update(host).digest();
    }
}
