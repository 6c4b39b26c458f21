/**
 * Audit trail: the changes that a node applied, each with its cause and time.
 */
import Emittery from "emittery";
import { z } from "zod";

/** One change that a node applied. */
export const auditEntrySchema = z.object({
    /** Increases by one with each entry; starts at 1 in each process. */
    sequence: z.number(),
    /** Wall-clock time in ISO 8601. */
    time: z.string(),
    change: z.enum([
        "process-started",
        "process-stopping",
        "configuration-in-force",
        "configuration-refused",
        "organisation-added",
        "organisation-removed",
        "rate-changed",
        "key-added",
        "key-withdrawn",
        "host-joined",
        "host-left",
        "host-draining",
        "host-failed",
        "failure-domain-unreachable",
        "failure-domain-reachable",
        "limit-changed",
        "request-quarantined",
        "request-cleared",
        "seat-conflict",
    ]),
    /** Name or id of what changed, such as a host name or a key id. */
    subject: z.string(),
    /** Reason for the change, such as the version or the source of the information. */
    cause: z.string(),
});

/** Entry of the audit trail; see {@link auditEntrySchema}. */
export type AuditEntry = z.infer<typeof auditEntrySchema>;

const MAXIMUM_ENTRIES = 1000;

/** Keeps the latest changes in memory and emits an event for each new one. */
export class AuditTrail {
    /** Emits `entry` for each change. */
    readonly events: Emittery<{ entry: AuditEntry; }> = new Emittery();
    private readonly entries: AuditEntry[] = [];
    private nextSequence = 1;

    private constructor(private readonly wallClock: () => Date) {}

    static create(options: { wallClock?: () => Date; } = {}): AuditTrail {
        return new AuditTrail(options.wallClock ?? (() => new Date()));
    }

    /** Records a change. */
    record(change: AuditEntry["change"], subject: string, cause: string): void {
        const entry = { sequence: this.nextSequence++, time: this.wallClock().toISOString(), change, subject, cause };
        this.entries.push(entry);
        if (this.entries.length > MAXIMUM_ENTRIES) {
            this.entries.shift();
        }
        void this.events.emit("entry", entry);
    }

    /** Returns the entries with a higher sequence number than the given one, oldest first. */
    since(sequence: number): AuditEntry[] {
        return this.entries.filter(entry => entry.sequence > sequence);
    }
}
