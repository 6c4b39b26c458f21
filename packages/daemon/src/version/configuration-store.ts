/**
 * The configuration version that is in force at this node.
 */
import type { AuditTrail, Configuration } from "@radishrouter/core";
import { configurationSchema, ConfigurationVersion } from "@radishrouter/core";
import Emittery from "emittery";

/** Adopts only versions that are higher than the one in force. */
export class ConfigurationStore {
    /** Emits `inForce` when a version has come into force. */
    readonly events: Emittery<{ inForce: ConfigurationVersion; }> = new Emittery();
    private version: ConfigurationVersion | undefined;

    private constructor(private readonly audit: AuditTrail) {}

    static create(audit: AuditTrail): ConfigurationStore {
        return new ConfigurationStore(audit);
    }

    /** Version in force; undefined until the first one has arrived. */
    get current(): ConfigurationVersion | undefined {
        return this.version;
    }

    /** Puts a document in force if it is valid and newer; the old one stays in force otherwise. */
    offer(document: unknown, source: string): boolean {
        const parsed = configurationSchema.safeParse(document);
        if (!parsed.success) {
            this.audit.record("configuration-refused", source, parsed.error.issues[0]?.message ?? "invalid");
            return false;
        }
        if (this.version && parsed.data.version <= this.version.configuration.version) {
            return false;
        }
        this.recordChanges(parsed.data, source);
        this.version = ConfigurationVersion.create(parsed.data);
        void this.events.emit("inForce", this.version);
        return true;
    }

    private recordChanges(next: Configuration, source: string): void {
        const cause = `version ${next.version} from ${source}`;
        const before = this.version?.configuration.organisations ?? {};
        this.audit.record("configuration-in-force", String(next.version), source);
        for (const name of Object.keys(before).filter(name => !next.organisations[name])) {
            this.audit.record("organisation-removed", name, cause);
        }
        for (const [name, organisation] of Object.entries(next.organisations)) {
            const old = before[name];
            if (!old) {
                this.audit.record("organisation-added", name, cause);
                continue;
            }
            if (old.rate !== organisation.rate || old.burst !== organisation.burst) {
                this.audit.record("rate-changed", name, cause);
            }
            const oldKeys = new Set(old.keys.map(key => key.id));
            const newKeys = new Set(organisation.keys.map(key => key.id));
            for (const id of [...newKeys].filter(id => !oldKeys.has(id))) {
                this.audit.record("key-added", `${name}/${id}`, cause);
            }
            for (const id of [...oldKeys].filter(id => !newKeys.has(id))) {
                this.audit.record("key-withdrawn", `${name}/${id}`, cause);
            }
        }
    }
}
