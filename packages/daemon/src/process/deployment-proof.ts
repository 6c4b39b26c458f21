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

    /** Proof that a host sends with what it sends to a peer. */
    proofOf(host: string): Buffer {
        let proof = this.proofs.get(host);
        if (!proof) {
            proof = createHmac("sha256", this.secret).update(host).digest();
            this.proofs.set(host, proof);
        }
        return proof;
    }

    /** Whether a proof is that of a host. */
    verify(host: string, proof: Uint8Array): boolean {
        const expected = createHmac("sha256", this.secret).update(host).digest();
        return proof.length === expected.length && timingSafeEqual(expected, proof);
    }
}
