/**
 * Whether this process may act for its seat, when an earlier process of the seat may have acted before it.
 *
 * A process starts with an empty memory. Before it authorises anything for its seat it announces itself to witnesses,
 * which are other nodes; they answer whether they know an earlier process of the seat. If one does, this process waits
 * until everything that its predecessor may have authorised is past its retention.
 *
 * A majority of the witnesses has to answer, so that two processes of a seat have a witness in common. A process that
 * starts where fewer can be reached waits; one that was authorised before a partition stays so.
 */
import type { ControlTransport, ReceivedMessage } from "../connection/control-transport.js";
import type { Host } from "../version/host-list.js";
import type { Clock, Timer } from "./clock.js";
import { setRepeatingTimer } from "./clock.js";

/** Parts and identity of an authority. */
export interface SeatAuthorityOptions {
    readonly clock: Clock;
    readonly transport: ControlTransport;
    readonly failureDomain: string;
    readonly seat: number;
    readonly incarnation: bigint;
    /** Milliseconds for which what a process of the seat authorised has to be remembered. */
    readonly retentionMs: number;
    /** Milliseconds for which keys of a seat may be remembered by seats that owned them before it was added. */
    readonly seatHandoverRemainingMs: (failureDomain: string, seat: number) => number;
    /** Other live hosts; undefined until the platform's list is known. */
    readonly livePeers: () => readonly Host[] | undefined;
}

/** Whether this process may act for its seat now. */
export type SeatState =
    /** No witness has answered yet. */
    | { readonly kind: "asking"; }
    /** An earlier process of the seat may have authorised requests that are still remembered. */
    | { readonly kind: "waiting"; readonly untilMs: number; }
    | { readonly kind: "authorised"; }
    /** A later process holds the seat. */
    | { readonly kind: "superseded"; };

interface KnownSeat {
    readonly incarnation: bigint;
    /** Until when requests of an earlier process have to be remembered. */
    readonly earlierUntilMs: number;
}

const WITNESSES_PER_SIDE = 4;
const ASK_INTERVAL_MS = 250;
/** Time between two ticks that counts as a pause; has to be shorter than the time that a replacement waits. */
const PAUSE_MS = 10_000;
const ANNOUNCE_INTERVAL_MS = 30_000;
/** Time that missing witnesses get before the answers of the others count. */
const ANSWER_WAIT_MS = 1_000;

/** Holds one seat, and is a witness for others. */
export class SeatAuthority {
    private current: SeatState = { kind: "asking" };
    private readonly known = new Map<string, KnownSeat>();
    private readonly answered = new Set<string>();
    private earlierUntilMs = 0;
    private askedAtMs: number | undefined;
    private lastAnnouncedMs = -Infinity;
    private lastTickMs: number;
    private readonly timer: Timer;
    private readonly unsubscribe: () => void;

    private constructor(private readonly options: SeatAuthorityOptions) {
        this.lastTickMs = options.clock.nowMs();
        this.unsubscribe = options.transport.subscribe(received => this.receive(received));
        this.timer = setRepeatingTimer(options.clock, ASK_INTERVAL_MS, () => this.tick());
    }

    static create(options: SeatAuthorityOptions): SeatAuthority {
        return new SeatAuthority(options);
    }

    /** Whether this process may act for the seat now. */
    get state(): SeatState {
        this.checkAfterPause();
        if (this.current.kind === "waiting" && this.current.untilMs <= this.options.clock.nowMs()) {
            this.current = { kind: "authorised" };
        }
        return this.current;
    }

    /** Asks the witnesses again, for instance after the process was paused. */
    checkAgain(): void {
        if (this.current.kind === "superseded") {
            return;
        }
        this.current = { kind: "asking" };
        this.answered.clear();
        this.askedAtMs = undefined;
        this.tick();
    }

    /** Stops announcing and answering. */
    close(): void {
        this.timer.cancel();
        this.unsubscribe();
    }

    /** A process that woke late may have been replaced. */
    private checkAfterPause(): void {
        const nowMs = this.options.clock.nowMs();
        const gapMs = nowMs - this.lastTickMs;
        this.lastTickMs = nowMs;
        if (gapMs > Math.min(PAUSE_MS, this.options.retentionMs / 2)) {
            this.checkAgain();
        }
    }

    private tick(): void {
        this.checkAfterPause();
        const nowMs = this.options.clock.nowMs();
        if (this.state.kind === "asking") {
            this.askedAtMs ??= nowMs;
            this.announce();
            this.decide();
        }
        else if (nowMs - this.lastAnnouncedMs >= ANNOUNCE_INTERVAL_MS) {
            this.announce();
        }
    }

    private announce(): void {
        const { transport, failureDomain, seat } = this.options;
        this.lastAnnouncedMs = this.options.clock.nowMs();
        for (const host of this.witnesses()) {
            transport.send(host.name, {
                case: "incarnationNotice",
                value: { $typeName: "radishrouter.v1.IncarnationNotice", failureDomain, seat },
            });
        }
    }

    /** Some hosts of the own failure domain and some of others, so that losing either leaves a witness. */
    private witnesses(): Host[] {
        const { failureDomain, seat } = this.options;
        const ranked = (this.options.livePeers() ?? [])
            .map(host => ({ host, rank: hashText(`${failureDomain}/${seat}/${host.name}`) }))
            .sort((left, right) => left.rank - right.rank)
            .map(({ host }) => host);
        const near = ranked.filter(host => host.failureDomain === failureDomain);
        const far = ranked.filter(host => host.failureDomain !== failureDomain);
        return [...near.slice(0, WITNESSES_PER_SIDE), ...far.slice(0, WITNESSES_PER_SIDE)];
    }

    private receive({ sender, incarnation, message }: ReceivedMessage): void {
        const { body } = message;
        if (body.case === "incarnationNotice") {
            this.bearWitness(sender, incarnation, body.value);
        }
        else if (body.case === "incarnationAnswer") {
            const { failureDomain, seat, earlierRemainingMs, superseded } = body.value;
            const isOwn = failureDomain === this.options.failureDomain && seat === this.options.seat;
            if (isOwn && body.value.incarnation === this.options.incarnation) {
                this.takeAnswer(sender, earlierRemainingMs, superseded);
            }
        }
    }

    private bearWitness(
        sender: string,
        incarnation: bigint,
        notice: { failureDomain: string; seat: number; },
    ): void {
        const name = `${notice.failureDomain}/${notice.seat}`;
        const nowMs = this.options.clock.nowMs();
        const before = this.known.get(name);
        const superseded = before !== undefined && before.incarnation > incarnation;
        let entry = before ?? { incarnation, earlierUntilMs: 0 };
        if (entry.incarnation < incarnation) {
            entry = { incarnation, earlierUntilMs: nowMs + this.options.retentionMs };
        }
        this.known.set(name, entry);
        const addedMs = this.options.seatHandoverRemainingMs(notice.failureDomain, notice.seat);
        this.options.transport.send(sender, {
            case: "incarnationAnswer",
            value: {
                $typeName: "radishrouter.v1.IncarnationAnswer",
                failureDomain: notice.failureDomain,
                seat: notice.seat,
                incarnation,
                earlierRemainingMs: Math.max(0, Math.ceil(entry.earlierUntilMs - nowMs), Math.ceil(addedMs)),
                superseded,
            },
        });
    }

    private takeAnswer(sender: string, earlierRemainingMs: number, superseded: boolean): void {
        if (superseded) {
            this.current = { kind: "superseded" };
            return;
        }
        this.answered.add(sender);
        this.earlierUntilMs = Math.max(this.earlierUntilMs, this.options.clock.nowMs() + earlierRemainingMs);
        if (this.current.kind === "asking") {
            this.decide();
        }
        else if (this.current.kind === "authorised" && earlierRemainingMs > 0) {
            this.current = { kind: "waiting", untilMs: this.earlierUntilMs };
        }
    }

    private decide(): void {
        const nowMs = this.options.clock.nowMs();
        const witnesses = this.witnesses();
        const isComplete = witnesses.every(host => this.answered.has(host.name));
        const isLate = nowMs - (this.askedAtMs ?? nowMs) >= ANSWER_WAIT_MS;
        const hasMajority = this.answered.size * 2 > witnesses.length || witnesses.length === 0;
        if (this.options.livePeers() && (isComplete || isLate) && hasMajority) {
            this.current = this.earlierUntilMs > nowMs ?
                { kind: "waiting", untilMs: this.earlierUntilMs } :
                { kind: "authorised" };
        }
    }
}

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** FNV-1a; spreads witnesses over the fleet and needs no resistance to attacks. */
function hashText(text: string): number {
    let hash = FNV_OFFSET;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
    }
    return hash >>> 0;
}
