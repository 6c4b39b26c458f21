/**
 * Which host holds which seat, as far as the platform's list says.
 */
import type { Host, HostList } from "../version/host-list.js";

/** Finds hosts by seat. The list lags, so whoever acts for a seat checks its own settings. */
export class SeatDirectory {
    private hosts: ReadonlyMap<string, Host> | undefined;

    private constructor() {}

    static create(): SeatDirectory {
        return new SeatDirectory();
    }

    /** Whether a list has arrived. */
    get hasHostList(): boolean {
        return this.hosts !== undefined;
    }

    /** Takes over the platform's list. */
    setHostList(list: HostList): void {
        this.hosts = new Map(
            list.hosts.filter(host => host.seat !== undefined).map(
                host => [nameOf(host.failureDomain, host.seat!), host],
            ),
        );
    }

    /** Host that holds a seat; undefined when the list names none. */
    find(failureDomain: string, seat: number): Host | undefined {
        return this.hosts?.get(nameOf(failureDomain, seat));
    }
}

function nameOf(failureDomain: string, seat: number): string {
    return `${failureDomain}/${seat}`;
}
