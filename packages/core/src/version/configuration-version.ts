/**
 * One configuration version with its indexes, which are built once when the version becomes active.
 */
import { AccessKeyIndex } from "./access-key.js";
import type { Configuration } from "./configuration.js";
import { RouteIndex } from "./route-index.js";
import { shareCountOf } from "./share-rule.js";

/** Configuration of one version, with the indexes by which keys and routes of requests are found. */
export class ConfigurationVersion {
    /** Number of shares into which every rate is divided, one for each seat. */
    readonly shareCount: number;

    private constructor(
        readonly configuration: Configuration,
        readonly keys: AccessKeyIndex,
        readonly routes: RouteIndex,
    ) {
        this.shareCount = shareCountOf(configuration);
    }

    static create(configuration: Configuration): ConfigurationVersion {
        return new ConfigurationVersion(
            configuration,
            AccessKeyIndex.create(configuration),
            RouteIndex.create(configuration),
        );
    }
}
