/**
 * One configuration version with the indexes that requests are decided by.
 */
import { hashAccessKey } from "@radishrouter/core";
import type { MeshConfiguration, Organisation } from "./mesh-configuration.js";
import { RouteTable } from "./route-table.js";

/** Configuration version in force, indexed. */
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

    /** Whether callers have to show a key on routes that are not public. */
    get requiresKeys(): boolean {
        return this.configuration.organisations !== undefined;
    }

    /** Organisation that a key belongs to in this version. */
    findOrganisationByKey(key: string): Organisation | undefined {
        return this.organisationsByKey.get(hashAccessKey(key));
    }
}
