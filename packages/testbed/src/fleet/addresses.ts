/**
 * Loopback addresses of a fleet; each process of tests or benches has a range of its own.
 */

/** Ports that are the same on every host, since each host has an address of its own. */
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

const RANGES = 120;
const SUBRANGES = 250;
const PLATFORM_HOST = 250;
const PROXY_HOST = 251;
const CLIENT_HOST = 252;

/** Addresses of one fleet. */
export class FleetAddresses {
    private constructor(private readonly range: number, private readonly subrange: number) {}

    /** Derives a range from a number such as the process id. */
    static create(seed: number): FleetAddresses {
        return new FleetAddresses(1 + seed % RANGES, 1 + Math.floor(seed / RANGES) % SUBRANGES);
    }

    /** Address of a host by its index, from 0 to 199. */
    host(index: number): string {
        return this.real(index + 1);
    }

    /** Address at which others reach a host through the fault-injecting proxy. */
    proxiedHost(index: number): string {
        return this.proxied(index + 1);
    }

    get platform(): string {
        return this.real(PLATFORM_HOST);
    }

    get proxiedPlatform(): string {
        return this.proxied(PLATFORM_HOST);
    }

    get proxyControl(): string {
        return this.real(PROXY_HOST);
    }

    /** Address from which callers connect. */
    get client(): string {
        return this.real(CLIENT_HOST);
    }

    private real(last: number): string {
        return `127.${this.range}.${this.subrange}.${last}`;
    }

    private proxied(last: number): string {
        return `127.${this.range + RANGES}.${this.subrange}.${last}`;
    }
}
