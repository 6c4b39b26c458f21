/**
 * The two deployments that the demo runs, at small scale.
 */
import type { HostSpecification } from "../fleet/fleet-options.js";

/** Method and target of a request that callers send. */
export interface RequestTemplate {
    readonly method: "GET" | "POST";
    readonly target: string;
}

/** One deployment: its hosts, its traffic, and the targets of the surge, key withdrawal and host replacement. */
export interface Deployment {
    readonly name: string;
    readonly hosts: readonly HostSpecification[];
    /** Request target that passes through every service of the call chain. */
    readonly chainTarget: string;
    /** Services of the call chain, starting with the one that callers send to. */
    readonly chain: readonly string[];
    readonly traffic: readonly RequestTemplate[];
    readonly surgingOrganisation: string;
    /** Organisation whose key is withdrawn. */
    readonly withdrawnOrganisation: string;
    /** Host that is replaced, and the one that takes its place. */
    readonly replacedHost: string;
    readonly replacementHost: HostSpecification;
}

interface ServiceDefinition {
    readonly service: string;
    /** Target of the downstream call that the service makes for each request. */
    readonly downstreamTarget: string | undefined;
}

function createHosts(
    services: readonly ServiceDefinition[],
    region: string,
    hostLocations: readonly (readonly [service: string, failureDomain: string])[],
): HostSpecification[] {
    return hostLocations.map(([service, failureDomain], index) => {
        const downstreamTarget = services.find(definition => definition.service === service)?.downstreamTarget;
        return {
            name: `${service}-${index + 1}`,
            service,
            failureDomain,
            region,
            seat: index % 2,
            behaviour: { serviceMs: 3, onwardCalls: downstreamTarget === undefined ? [] : [downstreamTarget] },
        };
    });
}

const kavangoHosts = createHosts(
    [
        { service: "catalogue", downstreamTarget: "/accessions/records/17" },
        { service: "accessions", downstreamTarget: "/reading-room/desks/4" },
        { service: "reading-room", downstreamTarget: "/items/descriptions/17" },
        { service: "items", downstreamTarget: undefined },
    ],
    "khomas",
    [
        ["catalogue", "khomas-a"],
        ["items", "khomas-a"],
        ["accessions", "khomas-b"],
        ["items", "khomas-b"],
        ["reading-room", "khomas-c"],
        ["catalogue", "khomas-c"],
    ],
);

const kvarnholmHosts = createHosts(
    [
        { service: "utlamning", downstreamTarget: "/flyttplan/plans/9" },
        { service: "flyttplan", downstreamTarget: "/lagersyn/stock/9" },
        { service: "lagersyn", downstreamTarget: "/fartygsplats/slots/9" },
        { service: "fartygsplats", downstreamTarget: undefined },
    ],
    "gotaland",
    [
        ["utlamning", "goteborg"],
        ["fartygsplats", "goteborg"],
        ["flyttplan", "jonkoping"],
        ["fartygsplats", "jonkoping"],
        ["lagersyn", "norrkoping"],
        ["utlamning", "norrkoping"],
    ],
);

function createReplacement(hosts: readonly HostSpecification[], name: string, newName: string): HostSpecification {
    const replaced = hosts.find(host => host.name === name);
    if (!replaced) {
        throw new Error(`cannot replace host "${name}": the deployment has no host of that name`);
    }
    return { ...replaced, name: newName };
}

/** Both deployments. */
export const deployments: readonly Deployment[] = [
    {
        name: "kavango",
        hosts: kavangoHosts,
        chainTarget: "/catalogue/search/chain",
        chain: ["catalogue", "accessions", "reading-room", "items"],
        traffic: [
            { method: "GET", target: "/catalogue/search/church?q=register" },
            { method: "GET", target: "/items/descriptions/5" },
            { method: "POST", target: "/accessions/records" },
            { method: "POST", target: "/reading-room/bookings" },
        ],
        surgingOrganisation: "okahandja-farms",
        withdrawnOrganisation: "omaruru-school",
        replacedHost: "items-4",
        replacementHost: createReplacement(kavangoHosts, "items-4", "items-7"),
    },
    {
        name: "kvarnholm",
        hosts: kvarnholmHosts,
        chainTarget: "/utlamning/releases/chain",
        chain: ["utlamning", "flyttplan", "lagersyn", "fartygsplats"],
        traffic: [
            { method: "GET", target: "/lagersyn/stock/5" },
            { method: "GET", target: "/fartygsplats/slots/2" },
            { method: "POST", target: "/flyttplan/orders" },
            { method: "POST", target: "/utlamning/bookings" },
        ],
        surgingOrganisation: "tranemo-akeri",
        withdrawnOrganisation: "linkoping-lager",
        replacedHost: "fartygsplats-4",
        replacementHost: createReplacement(kvarnholmHosts, "fartygsplats-4", "fartygsplats-7"),
    },
];
