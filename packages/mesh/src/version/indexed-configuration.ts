/**
 * One configuration version with indexes for the lookups that each request makes.
 */
import { hashAccessKey } from "@radishrouter/core";
import type { MeshConfiguration, Organisation } from "./mesh-configuration.js";
import { RouteTable } from "./route-table.js";

/** Configuration version, indexed by route and by key. */
export class IndexedConfiguration {
    readonly routes: RouteTable;
    private readonly organisationsByKey: ReadonlyMap<string, Organisation>;

    private constructor(readonly configuration: MeshConfiguration) {
        this.routes = RouteTable.create(configuration.routes);
        const organisations = configuration.organisations ?? [];
        this.organisationsByKey = new Map(
            organisations.flatMap(organisation =>
                organisation.keyHashes.map(keyHash => [keyHash, organisation] as const)
            ),
        );
    }

    static create(configuration: MeshConfiguration): IndexedConfiguration {
        return new IndexedConfiguration(configuration);
    }

    /** Whether callers must send a key on routes that are not public. */
    get requiresKeys(): boolean {
        return this.configuration.organisations !== undefined;
    }

    /** Organisation that a key belongs to in this version; undefined when the key is unknown. */
    findOrganisationByKey(key: string): Organisation | undefined {
        return this.organisationsByKey.get(hashAccessKey(key));
    }
}
