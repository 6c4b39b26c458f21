/**
 * One configuration version with its indexes, built once when the version comes into force.
 */
import { KeyIndex } from "./access-key.js";
import type { Configuration } from "./configuration.js";
import { RouteIndex } from "./route-index.js";
import { shareCountOf } from "./share-rule.js";

/** What is looked up for requests in one configuration version. */
export class ConfigurationVersion {
    /** Number of shares into which every rate is divided, one for each seat. */
    readonly shareCount: number;

    private constructor(
        readonly configuration: Configuration,
        readonly keys: KeyIndex,
        readonly routes: RouteIndex,
    ) {
        this.shareCount = shareCountOf(configuration);
    }

    static create(configuration: Configuration): ConfigurationVersion {
        return new ConfigurationVersion(
            configuration,
            KeyIndex.create(configuration),
            RouteIndex.create(configuration),
        );
    }
}
