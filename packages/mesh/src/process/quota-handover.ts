/**
 * Decides from when on a host that has joined generates the tokens that another host generated before it.
 *
 * The other host goes on until it learns of the join, and cannot learn of it while it is cut off: both would generate the
 * same fraction of the rate. The new host begins when the other one confirms that it does not generate tokens any more, or
 * when the other one's configuration lease must have ended, after which its callers are refused.
 */
import type { Clock } from "@radishrouter/core";

/** Collaborators and settings of a handover. */
export interface QuotaHandoverOptions {
    readonly clock: Clock;
    /** Longest time for which a host that is cut off accepts keys and so uses tokens. */
    readonly limitMs: number;
    /** Hosts that would generate tokens of an organisation in place of this host if it had not joined. */
    readonly previousHolders: (organisation: string) => readonly string[];
    /** Asks whether a host generates tokens of an organisation; resolves with undefined if it gives no answer. */
    readonly askIsGenerating: (address: string, organisation: string) => Promise<boolean | undefined>;
    /** Called when this host may generate the tokens of an organisation. */
    readonly onTakenOver: (organisation: string) => void;
}

const ASK_INTERVAL_MS = 100;

/** Handovers to this host, by organisation; there are none until it joins. */
export class QuotaHandover {
    private untilMs = -Infinity;
    private readonly takenOver = new Set<string>();
    private readonly asking = new Set<string>();

    private constructor(private readonly options: QuotaHandoverOptions) {}

    static create(options: QuotaHandoverOptions): QuotaHandover {
        return new QuotaHandover(options);
    }

    /** Records that this host has joined. */
    begin(): void {
        const { clock, limitMs } = this.options;
        this.untilMs = clock.nowMs() + limitMs;
        this.takenOver.clear();
    }

    /** Whether this host must not generate tokens of an organisation yet; begins to ask who does. */
    isPending(organisation: string): boolean {
        if (this.hasEnded() || this.takenOver.has(organisation)) {
            return false;
        }
        if (!this.asking.has(organisation)) {
            this.asking.add(organisation);
            void this.takeOver(organisation);
        }
        return true;
    }

    private hasEnded(): boolean {
        return this.options.clock.nowMs() >= this.untilMs;
    }

    private async takeOver(organisation: string): Promise<void> {
        const { clock, onTakenOver } = this.options;
        while (!this.hasEnded() && !await this.isConfirmed(organisation)) {
            const remainingMs = Math.max(0, this.untilMs - clock.nowMs());
            await new Promise<void>(resolve => clock.setTimer(Math.min(ASK_INTERVAL_MS, remainingMs), resolve));
        }
        this.takenOver.add(organisation);
        this.asking.delete(organisation);
        onTakenOver(organisation);
    }

    private async isConfirmed(organisation: string): Promise<boolean> {
        const { previousHolders, askIsGenerating } = this.options;
        const addresses = previousHolders(organisation);
        const answers = await Promise.all(addresses.map(address => askIsGenerating(address, organisation)));
        return answers.every(isGenerating => isGenerating === false);
    }
}
