/**
 * One configuration version with indexes for the lookups that each request makes.
 */
import { hashAccessKey } from "@radishrouter/core";
import type { MeshConfiguration, Organisation } from "./mesh-configuration.js";
import { RouteTable } from "./route-table.js";

/** Keys whose organisation is remembered, known and unknown ones; hashing a key costs more than the look-up. */
const MAXIMUM_REMEMBERED_KEYS = 1_024;

/** Configuration version, indexed by route and by key. */
export class IndexedConfiguration {
    readonly routes: RouteTable;
    private readonly organisationsByKeyHash: ReadonlyMap<string, Organisation>;
    private readonly rememberedKeys = new Map<string, Organisation | undefined>();

    private constructor(readonly configuration: MeshConfiguration) {
        this.routes = RouteTable.create(configuration.routes);
        const organisations = configuration.organisations ?? [];
        this.organisationsByKeyHash = new Map(
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
        if (this.rememberedKeys.has(key)) {
            return this.rememberedKeys.get(key);
        }
        if (this.rememberedKeys.size >= MAXIMUM_REMEMBERED_KEYS) {
            this.rememberedKeys.clear();
        }
        const organisation = this.organisationsByKeyHash.get(hashAccessKey(key));
        this.rememberedKeys.set(key, organisation);
        return organisation;
    }
}
