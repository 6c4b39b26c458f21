/**
 * The two deployments that the demo runs, at small scale.
 */
import type { HostSpecification } from "../fleet/fleet-options.js";

/** A kind of request that callers send. */
export interface TrafficKind {
    readonly method: "GET" | "POST";
    readonly target: string;
}

/** One deployment: its hosts, its traffic and what happens to it. */
export interface Mesh {
    readonly name: string;
    readonly hosts: readonly HostSpecification[];
    /** Request that runs down the whole chain. */
    readonly chainTarget: string;
    /** Services of the chain from the entry down. */
    readonly chain: readonly string[];
    readonly traffic: readonly TrafficKind[];
    readonly surgingOrganisation: string;
    /** Organisation whose key is withdrawn. */
    readonly withdrawnOrganisation: string;
    /** Host that is replaced, and the one that takes its place. */
    readonly replaced: string;
    readonly replacement: HostSpecification;
}

interface ServicePlan {
    readonly service: string;
    /** Target that each request of the service calls. */
    readonly onwardCall: string | undefined;
}

function createHosts(
    plans: readonly ServicePlan[],
    region: string,
    placement: readonly (readonly [service: string, failureDomain: string])[],
): HostSpecification[] {
    return placement.map(([service, failureDomain], index) => {
        const onwardCall = plans.find(plan => plan.service === service)?.onwardCall;
        return {
            name: `${service}-${index + 1}`,
            service,
            failureDomain,
            region,
            seat: index % 2,
            behaviour: { serviceMs: 3, onwardCalls: onwardCall === undefined ? [] : [onwardCall] },
        };
    });
}

const kavangoHosts = createHosts(
    [
        { service: "catalogue", onwardCall: "/accessions/records/17" },
        { service: "accessions", onwardCall: "/reading-room/desks/4" },
        { service: "reading-room", onwardCall: "/items/descriptions/17" },
        { service: "items", onwardCall: undefined },
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
        { service: "utlamning", onwardCall: "/flyttplan/plans/9" },
        { service: "flyttplan", onwardCall: "/lagersyn/stock/9" },
        { service: "lagersyn", onwardCall: "/fartygsplats/slots/9" },
        { service: "fartygsplats", onwardCall: undefined },
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
        throw new Error(`the mesh has no host ${name}`);
    }
    return { ...replaced, name: newName };
}

/** Both deployments. */
export const meshes: readonly Mesh[] = [
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
        replaced: "items-4",
        replacement: createReplacement(kavangoHosts, "items-4", "items-7"),
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
        replaced: "fartygsplats-4",
        replacement: createReplacement(kvarnholmHosts, "fartygsplats-4", "fartygsplats-7"),
    },
];
