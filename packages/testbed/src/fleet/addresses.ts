/**
 * Loopback addresses of a fleet. Each test or bench process uses its own range, so that fleets can run side by side.
 */

/** Ports, which are the same on every host because each host has its own address. */
export const ports = {
    callers: 8080,
    forward: 8081,
    control: 8082,
    backend: 8083,
    operators: 8084,
    backendServer: 9000,
    platform: 7000,
    proxyControl: 7100,
} as const;

/** Number of values of the second octet for direct addresses; proxied addresses use as many values above them. */
const RANGE_COUNT = 120;
/** Number of values of the third octet. */
const SUBRANGE_COUNT = 250;
/** Last octets of the addresses that are not hosts of the fleet; those of hosts are 1 to 200. */
const PLATFORM_HOST = 250;
const PROXY_HOST = 251;
const CLIENT_HOST = 252;

/** Addresses of one fleet. */
export class FleetAddresses {
    private constructor(private readonly range: number, private readonly subrange: number) {}

    /** Derives the address range from a number such as the process id. */
    static create(seed: number): FleetAddresses {
        return new FleetAddresses(1 + seed % RANGE_COUNT, 1 + Math.floor(seed / RANGE_COUNT) % SUBRANGE_COUNT);
    }

    /** Address of the host with an index from 0 to 199. */
    host(index: number): string {
        return this.directAddress(index + 1);
    }

    /** Address at which other processes reach a host through the fault-injecting proxy. */
    proxiedHost(index: number): string {
        return this.proxiedAddress(index + 1);
    }

    get platform(): string {
        return this.directAddress(PLATFORM_HOST);
    }

    get proxiedPlatform(): string {
        return this.proxiedAddress(PLATFORM_HOST);
    }

    get proxyControl(): string {
        return this.directAddress(PROXY_HOST);
    }

    /** Address from which callers connect. */
    get client(): string {
        return this.directAddress(CLIENT_HOST);
    }

    private directAddress(hostNumber: number): string {
        return `127.${this.range}.${this.subrange}.${hostNumber}`;
    }

    private proxiedAddress(hostNumber: number): string {
        return `127.${this.range + RANGE_COUNT}.${this.subrange}.${hostNumber}`;
    }
}
