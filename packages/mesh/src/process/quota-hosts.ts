/**
 * Hosts that count for the quotas of organisations.
 *
 * A host whose entry went without notice may run on, cut off from the others but not from the platform. It stays a holder
 * for a while, at all hosts alike: if the others took over its fraction at once, both would generate tokens for it.
 */
import type { Clock } from "@radishrouter/core";
import type { FleetHost } from "./relay-tree.js";

/** Time for which a host counts after its entry went; longer than most cuts last. */
export const SILENT_HOST_MS = 15_000;

/** The listed hosts, and those that left the list without notice a short time ago. */
export class QuotaHosts {
    private readonly silent = new Map<string, FleetHost>();
    private listed: readonly FleetHost[] | undefined;
    private currentHosts: readonly FleetHost[] = [];

    private constructor(
        private readonly clock: Clock,
        private readonly listHosts: () => readonly FleetHost[],
        private readonly onExpired: () => void,
    ) {}

    /**
     * `listHosts` returns the same array until the list changes; `onExpired` is called when a host that left counts no
     * longer.
     */
    static create(clock: Clock, listHosts: () => readonly FleetHost[], onExpired: () => void): QuotaHosts {
        return new QuotaHosts(clock, listHosts, onExpired);
    }

    /** The same array until a host joins or counts no longer; without the local host where that is not listed. */
    get hosts(): readonly FleetHost[] {
        const listed = this.listHosts();
        if (listed !== this.listed) {
            this.listed = listed;
            this.currentHosts = this.combine(listed);
        }
        return this.currentHosts;
    }

    /** Records a host whose entry went although its server had not said that it leaves. */
    recordSilent(host: FleetHost): void {
        this.silent.set(host.address, host);
        this.listed = undefined;
        this.clock.setTimer(SILENT_HOST_MS, () => this.expire(host));
    }

    private expire(host: FleetHost): void {
        if (this.silent.get(host.address) === host) {
            this.silent.delete(host.address);
            this.listed = undefined;
            this.onExpired();
        }
    }

    private combine(listed: readonly FleetHost[]): readonly FleetHost[] {
        listed.forEach(({ address }) => this.silent.delete(address));
        return this.silent.size === 0 ? listed : [...listed, ...this.silent.values()];
    }
}
