/**
 * Applies published items that have changed to what this node works with: the configuration, the backend servers, and the
 * evacuated failure domains.
 */
import type { PublishedItem } from "../version/published-state.js";
import type { EvacuatedDomains } from "./evacuated-domains.js";
import type { DecodedConfiguration, PublishedItemDecoder } from "./published-state-reader.js";
import type { RequestLog } from "./request-log.js";
import type { ServerDirectory } from "./server-directory.js";

/** Collaborators of an applier. */
export interface PublishedItemApplierDependencies {
    readonly decoder: PublishedItemDecoder;
    readonly directory: ServerDirectory;
    readonly evacuations: EvacuatedDomains;
    readonly log: RequestLog;
    /** Activates a configuration if it is newer than the active one; returns whether it is. */
    readonly activateConfiguration: (decoded: DecodedConfiguration, cause: string) => boolean;
}

/** How far the changes that are applied can be relied on. */
export interface ChangeReliability {
    /** Whether they come from a copy of the store that is older than what was known before. */
    readonly isOlderCopy: boolean;
    /** Time for which a server stays usable whose entry is missing, because entries lapse during an outage. */
    readonly lapsedEntryGraceMs: number;
    /** Whom this node learned them from: the platform, or the address of another node. */
    readonly source: string;
    /** Time since this node last had a proof that its state was current: the changes are at most that old. */
    readonly lastProofAgeMs: number;
}

/** Decodes and applies changed items; an item that cannot be read is logged and changes nothing else. */
export class PublishedItemApplier {
    private lastVersion: number | undefined;
    /** Number of server entries that were applied; the position of the last one in the order of writes. */
    private appliedCount = 0;

    private constructor(private readonly dependencies: PublishedItemApplierDependencies) {}

    static create(dependencies: PublishedItemApplierDependencies): PublishedItemApplier {
        return new PublishedItemApplier(dependencies);
    }

    /** Version of the configuration that was applied last; it may be older than the active one. */
    get publishedVersion(): number | undefined {
        return this.lastVersion;
    }

    /** Applies changed items in the order in which they were written; a snapshot lists them by key. */
    apply(changed: readonly PublishedItem[], reliability: ChangeReliability): void {
        const inOrder = [...changed].sort((left, right) => left.revision - right.revision);
        inOrder.forEach(item => this.applyItem(item, reliability));
    }

    private applyItem(item: PublishedItem, reliability: ChangeReliability): void {
        const meaning = this.dependencies.decoder.kindOf(item.key);
        switch (meaning.kind) {
            case "configuration":
                this.applyConfiguration(item);
                return;
            case "server":
                this.applyServer(meaning.instance, item, reliability);
                return;
            case "evacuation":
                this.applyEvacuation(meaning.failureDomain, item, reliability);
                return;
            case "other":
                return;
        }
    }

    private applyConfiguration({ value, revision }: PublishedItem): void {
        if (!value) {
            return;
        }
        const { decoder, log, activateConfiguration } = this.dependencies;
        try {
            const decoded = decoder.decodeConfiguration(value);
            this.lastVersion = decoded.configuration.version;
            if (activateConfiguration(decoded, `revision ${revision}`)) {
                decoded.problems.forEach(problem => log.problem("configuration-entry-refused", { problem }));
            }
        }
        catch (error) {
            log.problem("configuration-refused", { revision, problem: String(error) });
        }
    }

    /** The value is not decoded: a key with any value, or with none that can be read, evacuates the failure domain. */
    private applyEvacuation(failureDomain: string, item: PublishedItem, reliability: ChangeReliability): void {
        const { evacuations } = this.dependencies;
        const cause = describeChange(item, reliability);
        if (item.value) {
            evacuations.begin(failureDomain, cause);
        }
        else if (reliability.isOlderCopy) {
            evacuations.keep(failureDomain, cause);
        }
        else {
            evacuations.end(failureDomain, cause);
        }
    }

    private applyServer(instance: string, item: PublishedItem, reliability: ChangeReliability): void {
        const { directory, decoder, log } = this.dependencies;
        const { isOlderCopy, lapsedEntryGraceMs, lastProofAgeMs } = reliability;
        const cause = describeChange(item, reliability);
        try {
            const decoded = item.value && decoder.decodeServer(instance, item.value);
            const server = decoded && { ...decoded, writeOrder: ++this.appliedCount };
            if (!server) {
                directory.remove(instance, lapsedEntryGraceMs, cause, lastProofAgeMs);
            }
            else if (directory.isOutdated(server, isOlderCopy)) {
                log.event("server-entry-outdated", { instance, sequence: server.sequence, cause });
            }
            else {
                directory.upsert(server, cause, lastProofAgeMs);
            }
        }
        catch (error) {
            log.problem("server-entry-refused", { key: item.key, revision: item.revision, problem: String(error) });
            directory.remove(instance, lapsedEntryGraceMs, cause, lastProofAgeMs);
        }
    }
}

function describeChange({ revision }: PublishedItem, { source, lastProofAgeMs }: ChangeReliability): string {
    const proof = Number.isFinite(lastProofAgeMs) ?
        `last proof ${Math.round(lastProofAgeMs)} ms before` :
        "no proof before";
    return `revision ${revision} from ${source}, ${proof}`;
}
