/**
 * The configuration version that is in force at this node.
 */
import type { AuditTrail, Configuration } from "@radishrouter/core";
import { configurationFormat, ConfigurationVersion, DocumentReplica } from "@radishrouter/core";
import Emittery from "emittery";

/** Keeps the version in force with its indexes, and records what each version changed. */
export class ConfigurationStore {
    /** Emits `inForce` when a version has come into force. */
    readonly events: Emittery<{ inForce: ConfigurationVersion; }> = new Emittery();
    /** The published document as it spreads among nodes. */
    readonly replica: DocumentReplica<Configuration>;
    private version: ConfigurationVersion | undefined;

    private constructor(private readonly audit: AuditTrail) {
        this.replica = DocumentReplica.create({
            format: configurationFormat,
            onAdopted: (content, source) => this.putInForce(content, source),
            onRefused: (source, problem) => this.refuse(source, problem),
        });
    }

    static create(audit: AuditTrail): ConfigurationStore {
        return new ConfigurationStore(audit);
    }

    /** Version in force; undefined until the first one has arrived. */
    get current(): ConfigurationVersion | undefined {
        return this.version;
    }

    /** Puts a document in force if it is valid and newer; the old one stays in force otherwise. */
    offer(document: unknown, source: string): boolean {
        return this.replica.offerDocument(document, source) === "adopted";
    }

    /** Records that a document was refused. */
    refuse(source: string, problem: string): void {
        this.audit.record("configuration-refused", source, problem);
    }

    private putInForce(configuration: Configuration, source: string): void {
        this.recordChanges(configuration, source);
        this.version = ConfigurationVersion.create(configuration);
        void this.events.emit("inForce", this.version);
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
