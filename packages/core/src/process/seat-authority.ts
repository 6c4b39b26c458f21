/**
 * Decides whether this process may act for its seat, given that a previous process of the seat may have done so.
 *
 * A process starts without any record of authorised requests. Before it authorises requests for its seat, it announces
 * itself to witnesses (other nodes), which answer whether they know a previous process of the seat. If one does, this
 * process waits until the retention of everything that the previous process may have authorised has ended.
 *
 * A majority of the witnesses must answer, so that any two processes of a seat share a witness. A process that starts
 * where it cannot reach a majority waits; a process that was authorised before a partition stays authorised.
 */
import type { ControlTransport, ReceivedMessage } from "../connection/control-transport.js";
import type { Host } from "../version/host-list.js";
import type { Clock, Timer } from "./clock.js";
import { setRepeatingTimer } from "./clock.js";

/** Dependencies of a seat authority, and the identity of the process. */
export interface SeatAuthorityOptions {
    readonly clock: Clock;
    readonly transport: ControlTransport;
    readonly failureDomain: string;
    readonly seat: number;
    readonly incarnation: bigint;
    /** Milliseconds for which a request that a process of the seat authorised must be remembered. */
    readonly retentionMs: number;
    /** Milliseconds for which previous owners may still remember the keys of a new seat. */
    readonly seatHandoverRemainingMs: (failureDomain: string, seat: number) => number;
    /** Other live hosts; undefined until a host list has been received. */
    readonly livePeers: () => readonly Host[] | undefined;
}

/** Whether a process may act for its seat. */
export type SeatState =
    /** Waiting for the answers of a majority of the witnesses. */
    | { readonly kind: "asking"; }
    /** A previous process of the seat may have authorised requests whose retention has not ended. */
    | { readonly kind: "waiting"; readonly untilMs: number; }
    | { readonly kind: "authorised"; }
    /** A later process holds the seat. */
    | { readonly kind: "superseded"; };

interface KnownSeat {
    readonly incarnation: bigint;
    /** Time until which requests that a previous process authorised must be remembered. */
    readonly retentionEndMs: number;
}

const MAXIMUM_WITNESSES_PER_GROUP = 4;
const ASK_INTERVAL_MS = 250;
/** Minimum gap between two ticks that counts as a pause; must be shorter than the time that a replacement waits. */
const MINIMUM_PAUSE_MS = 10_000;
const ANNOUNCE_INTERVAL_MS = 30_000;
/** Time to wait for all witnesses before deciding by those that have answered. */
const MISSING_WITNESS_WAIT_MS = 1_000;

/** Confirms that this process may act for its seat, and acts as a witness for other seats. */
export class SeatAuthority {
    private currentState: SeatState = { kind: "asking" };
    private readonly knownSeats = new Map<string, KnownSeat>();
    private readonly answered = new Set<string>();
    private retentionEndMs = 0;
    private askingSinceMs: number | undefined;
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

    /** Whether this process may act for its seat now. */
    get state(): SeatState {
        this.checkAfterPause();
        if (this.currentState.kind === "waiting" && this.currentState.untilMs <= this.options.clock.nowMs()) {
            this.currentState = { kind: "authorised" };
        }
        return this.currentState;
    }

    /** Restarts the confirmation by witnesses, for example after the process was paused. */
    askWitnessesAgain(): void {
        if (this.currentState.kind === "superseded") {
            return;
        }
        this.currentState = { kind: "asking" };
        this.answered.clear();
        this.askingSinceMs = undefined;
        this.tick();
    }

    /** Stops announcing the process and answering as a witness. */
    close(): void {
        this.timer.cancel();
        this.unsubscribe();
    }

    /** Asks the witnesses again after a pause, since the process may have been replaced meanwhile. */
    private checkAfterPause(): void {
        const nowMs = this.options.clock.nowMs();
        const gapMs = nowMs - this.lastTickMs;
        this.lastTickMs = nowMs;
        if (gapMs > Math.min(MINIMUM_PAUSE_MS, this.options.retentionMs / 2)) {
            this.askWitnessesAgain();
        }
    }

    private tick(): void {
        this.checkAfterPause();
        const nowMs = this.options.clock.nowMs();
        if (this.state.kind === "asking") {
            this.askingSinceMs ??= nowMs;
            this.announce();
            this.updateState();
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

    /** Hosts of the local failure domain and of others, so that losing either group leaves witnesses. */
    private witnesses(): Host[] {
        const { failureDomain, seat } = this.options;
        const ranked = (this.options.livePeers() ?? [])
            .map(host => ({ host, rank: hashText(`${failureDomain}/${seat}/${host.name}`) }))
            .sort((left, right) => left.rank - right.rank)
            .map(({ host }) => host);
        const sameDomain = ranked.filter(host => host.failureDomain === failureDomain);
        const otherDomains = ranked.filter(host => host.failureDomain !== failureDomain);
        return [
            ...sameDomain.slice(0, MAXIMUM_WITNESSES_PER_GROUP),
            ...otherDomains.slice(0, MAXIMUM_WITNESSES_PER_GROUP),
        ];
    }

    private receive({ sender, incarnation, message }: ReceivedMessage): void {
        const { body } = message;
        if (body.case === "incarnationNotice") {
            this.answerAsWitness(sender, incarnation, body.value);
        }
        else if (body.case === "incarnationAnswer") {
            const { failureDomain, seat, earlierRemainingMs, superseded } = body.value;
            const isLocalSeat = failureDomain === this.options.failureDomain && seat === this.options.seat;
            if (isLocalSeat && body.value.incarnation === this.options.incarnation) {
                this.recordAnswer(sender, earlierRemainingMs, superseded);
            }
        }
    }

    private answerAsWitness(
        sender: string,
        incarnation: bigint,
        notice: { failureDomain: string; seat: number; },
    ): void {
        const name = `${notice.failureDomain}/${notice.seat}`;
        const nowMs = this.options.clock.nowMs();
        const known = this.knownSeats.get(name);
        const superseded = known !== undefined && known.incarnation > incarnation;
        let entry = known ?? { incarnation, retentionEndMs: 0 };
        if (entry.incarnation < incarnation) {
            entry = { incarnation, retentionEndMs: nowMs + this.options.retentionMs };
        }
        this.knownSeats.set(name, entry);
        const handoverMs = this.options.seatHandoverRemainingMs(notice.failureDomain, notice.seat);
        this.options.transport.send(sender, {
            case: "incarnationAnswer",
            value: {
                $typeName: "radishrouter.v1.IncarnationAnswer",
                failureDomain: notice.failureDomain,
                seat: notice.seat,
                incarnation,
                earlierRemainingMs: Math.max(0, Math.ceil(entry.retentionEndMs - nowMs), Math.ceil(handoverMs)),
                superseded,
            },
        });
    }

    private recordAnswer(sender: string, earlierRemainingMs: number, superseded: boolean): void {
        if (superseded) {
            this.currentState = { kind: "superseded" };
            return;
        }
        this.answered.add(sender);
        this.retentionEndMs = Math.max(this.retentionEndMs, this.options.clock.nowMs() + earlierRemainingMs);
        if (this.currentState.kind === "asking") {
            this.updateState();
        }
        else if (this.currentState.kind === "authorised" && earlierRemainingMs > 0) {
            this.currentState = { kind: "waiting", untilMs: this.retentionEndMs };
        }
    }

    private updateState(): void {
        const nowMs = this.options.clock.nowMs();
        const witnesses = this.witnesses();
        const haveAllAnswered = witnesses.every(host => this.answered.has(host.name));
        const isAnswerWaitOver = nowMs - (this.askingSinceMs ?? nowMs) >= MISSING_WITNESS_WAIT_MS;
        const hasMajority = this.answered.size * 2 > witnesses.length || witnesses.length === 0;
        if (this.options.livePeers() && (haveAllAnswered || isAnswerWaitOver) && hasMajority) {
            this.currentState = this.retentionEndMs > nowMs ?
                { kind: "waiting", untilMs: this.retentionEndMs } :
                { kind: "authorised" };
        }
    }
}

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** FNV-1a hash; it only spreads witnesses over the fleet, so it need not resist attacks. */
function hashText(text: string): number {
    let hash = FNV_OFFSET;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
    }
    return hash >>> 0;
}
