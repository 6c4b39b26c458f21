/**
 * Lets suspects run at the local backend server one at a time, so that an end of the server tells which one caused it.
 *
 * A suspect is a request that was in flight when a backend server ended, and has not completed since. Most are innocent:
 * where the wait would make one late, it runs beside others, unless it was in flight at more than one end.
 */
import type { Clock, Timer } from "@radishrouter/core";

/** A suspect that is to run. */
export interface TurnRequest {
    readonly fingerprint: string;
    /** Whether it may not run beside another suspect, however long it waits; this can change while it waits or runs. */
    readonly mustBeAlone: () => boolean;
    /** Time of the clock until which it waits for others, if it may run beside them. */
    readonly startByMs: number;
}

/** A suspect's place in the order. */
export interface SuspectTurn {
    /** Resolves with true when the suspect may run, with false when it was given up before. */
    readonly granted: Promise<boolean>;
    /** Whether it runs as a suspect, and none but copies of it have run beside it so far. */
    readonly isAlone: boolean;
    /** Lets the next suspect run; may be called more than once. */
    end(): void;
}

interface Suspect {
    readonly request: TurnRequest;
    readonly grant: (isGranted: boolean) => void;
    timer: Timer | undefined;
    isAlone: boolean;
}

/** Order of the suspects at one backend server. */
export class SuspectTurns {
    private waiting: Suspect[] = [];
    private readonly running = new Set<Suspect>();

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): SuspectTurns {
        return new SuspectTurns(clock);
    }

    /** Enters a suspect behind those that wait. */
    enter(request: TurnRequest): SuspectTurn {
        let grant: (isGranted: boolean) => void = () => undefined;
        const granted = new Promise<boolean>(resolve => {
            grant = resolve;
        });
        const suspect: Suspect = { request, grant, timer: undefined, isAlone: true };
        this.waiting.push(suspect);
        this.grantWaiting();
        if (this.waiting.includes(suspect) && !request.mustBeAlone()) {
            const waitMs = request.startByMs - this.clock.nowMs();
            suspect.timer = this.clock.setTimer(Math.max(0, waitMs), () => this.grantWaiting());
        }
        return {
            granted,
            get isAlone() {
                return suspect.isAlone;
            },
            end: () => this.end(suspect),
        };
    }

    /** Lets all waiting requests with a fingerprint run, because one of them has completed. */
    releaseCleared(fingerprint: string): void {
        const cleared = this.waiting.filter(({ request }) => request.fingerprint === fingerprint);
        cleared.forEach(suspect => {
            this.removeWaiting(suspect);
            suspect.isAlone = false;
            suspect.grant(true);
        });
    }

    private end(suspect: Suspect): void {
        if (this.removeWaiting(suspect)) {
            suspect.grant(false);
        }
        if (this.running.delete(suspect)) {
            this.grantWaiting();
        }
    }

    /** Lets the first one run if none runs, and those that cannot wait any longer. */
    private grantWaiting(): void {
        for (const suspect of [...this.waiting]) {
            if (this.running.size === 0 || this.mayRunBesideOthers(suspect)) {
                this.removeWaiting(suspect);
                this.start(suspect);
            }
        }
    }

    private mayRunBesideOthers({ request }: Suspect): boolean {
        const isUrgent = request.startByMs <= this.clock.nowMs();
        return isUrgent &&
            ![request, ...[...this.running].map(other => other.request)].some(other => other.mustBeAlone());
    }

    private start(suspect: Suspect): void {
        this.running.add(suspect);
        if (new Set([...this.running].map(({ request }) => request.fingerprint)).size > 1) {
            this.running.forEach(other => {
                other.isAlone = false;
            });
        }
        suspect.grant(true);
    }

    private removeWaiting(suspect: Suspect): boolean {
        const isWaiting = this.waiting.includes(suspect);
        this.waiting = this.waiting.filter(other => other !== suspect);
        suspect.timer?.cancel();
        return isWaiting;
    }
}
