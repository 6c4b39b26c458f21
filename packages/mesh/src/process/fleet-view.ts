/**
 * What a node derives from the list of hosts: the hosts of the fleet, its own among them, and whom it follows.
 */
import { highestScoringNames } from "@radishrouter/core";
import { planRelay } from "./relay-tree.js";
import type { FleetHost, RelayPlan } from "./relay-tree.js";

/** The fleet as one host sees it; derived anew only when the list changes. */
export class FleetView {
    private listed: readonly FleetHost[] | undefined;
    private currentHosts: readonly FleetHost[] = [];
    private currentPlan: RelayPlan = { ancestors: [], helpers: [] };

    private constructor(
        private readonly localHost: FleetHost,
        private readonly listHosts: () => readonly FleetHost[],
    ) {}

    /** `listHosts` returns the same array until the list changes. */
    static create(localHost: FleetHost, listHosts: () => readonly FleetHost[]): FleetView {
        return new FleetView(localHost, listHosts);
    }

    /** The listed hosts, and the local one even while its backend server is not listed. */
    get hosts(): readonly FleetHost[] {
        this.update();
        return this.currentHosts;
    }

    /** Hosts that this host can learn published updates from. */
    get relayPlan(): RelayPlan {
        this.update();
        return this.currentPlan;
    }

    /** Position of the local host, from 0, in an order of all hosts that is the same on every host; differs by key. */
    positionOf(key: string): number {
        const addresses = this.hosts.map(({ address }) => address);
        return highestScoringNames(key, addresses, addresses.length).indexOf(this.localHost.address);
    }

    private update(): void {
        const listed = this.listHosts();
        if (listed === this.listed) {
            return;
        }
        this.listed = listed;
        const isListed = listed.some(({ address }) => address === this.localHost.address);
        this.currentHosts = isListed ? listed : [...listed, this.localHost];
        this.currentPlan = planRelay(this.localHost, this.currentHosts);
    }
}
