/**
 * The active configuration version of this node.
 */
import type { AuditTrail, Configuration } from "@radishrouter/core";
import { configurationFormat, ConfigurationVersion, DocumentReplica, findOrganisation } from "@radishrouter/core";
import Emittery from "emittery";

/** Keeps the active version with its indexes, and records the changes of each version in the audit trail. */
export class ConfigurationStore {
    /** Emits `inForce` when a version has become active. */
    readonly events: Emittery<{ inForce: ConfigurationVersion; }> = new Emittery();
    /** Replica of the published document, which nodes exchange. */
    readonly replica: DocumentReplica<Configuration>;
    private version: ConfigurationVersion | undefined;

    private constructor(private readonly audit: AuditTrail) {
        this.replica = DocumentReplica.create({
            format: configurationFormat,
            onAdopted: (content, source) => this.activate(content, source),
            onRefused: (source, problem) => this.refuse(source, problem),
        });
    }

    static create(audit: AuditTrail): ConfigurationStore {
        return new ConfigurationStore(audit);
    }

    /** Active version; undefined until the first one has arrived. */
    get current(): ConfigurationVersion | undefined {
        return this.version;
    }

    /** Activates a document if it is valid and newer than the active one; returns whether it did. */
    offer(document: unknown, source: string): boolean {
        return this.replica.offerDocument(document, source) === "adopted";
    }

    /** Records in the audit trail that a document was rejected, and why. */
    refuse(source: string, problem: string): void {
        this.audit.record("configuration-refused", source, problem);
    }

    private activate(configuration: Configuration, source: string): void {
        this.recordChanges(configuration, source);
        this.version = ConfigurationVersion.create(configuration);
        void this.events.emit("inForce", this.version);
    }

    private recordChanges(next: Configuration, source: string): void {
        const cause = `version ${next.version} from ${source}`;
        const before = this.version?.configuration ?? { organisations: {} };
        this.audit.record("configuration-in-force", String(next.version), source);
        for (const name of Object.keys(before.organisations).filter(name => !findOrganisation(next, name))) {
            this.audit.record("organisation-removed", name, cause);
        }
        for (const [name, organisation] of Object.entries(next.organisations)) {
            const previous = findOrganisation(before, name);
            if (!previous) {
                this.audit.record("organisation-added", name, cause);
                continue;
            }
            if (previous.rate !== organisation.rate || previous.burst !== organisation.burst) {
                this.audit.record("rate-changed", name, cause);
            }
            const oldKeys = new Set(previous.keys.map(key => key.id));
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
