/**
 * The changes that a node put in force, with cause and time.
 */
import Emittery from "emittery";
import { z } from "zod";

/** One change that a node put in force. */
export const auditEntrySchema = z.object({
    /** Grows by one with each entry of a process. */
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
    /** What was changed, such as the name of a host or the id of a key. */
    subject: z.string(),
    /** Why, such as the version or the source of the information. */
    cause: z.string(),
});

/** One change; see {@link auditEntrySchema}. */
export type AuditEntry = z.infer<typeof auditEntrySchema>;

const MAXIMUM_ENTRIES = 1000;

/** Keeps the last changes in memory and announces each. */
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

    /** Entries after a sequence number, the oldest first. */
    since(sequence: number): AuditEntry[] {
        return this.entries.filter(entry => entry.sequence > sequence);
    }
}
