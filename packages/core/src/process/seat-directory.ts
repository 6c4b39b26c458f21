/**
 * Maps seats to the hosts that hold them, according to the host list.
 */
import type { Host, HostList } from "../version/host-list.js";

/** Finds hosts by seat. The list may be out of date, so a process checks its own settings before acting for a seat. */
export class SeatDirectory {
    private hosts: ReadonlyMap<string, Host> | undefined;

    private constructor() {}

    static create(): SeatDirectory {
        return new SeatDirectory();
    }

    /** Whether a host list has been received. */
    get hasHostList(): boolean {
        return this.hosts !== undefined;
    }

    /** Applies a new host list. */
    setHostList(list: HostList): void {
        this.hosts = new Map(
            list.hosts.filter(host => host.seat !== undefined).map(
                host => [seatKeyOf(host.failureDomain, host.seat!), host],
            ),
        );
    }

    /** Host that holds a seat; undefined if the list has none. */
    find(failureDomain: string, seat: number): Host | undefined {
        return this.hosts?.get(seatKeyOf(failureDomain, seat));
    }
}

function seatKeyOf(failureDomain: string, seat: number): string {
    return `${failureDomain}/${seat}`;
}
