/**
 * One configuration version with its indexes, built once when the version comes into force.
 */
import { KeyIndex } from "./access-key.js";
import type { Configuration } from "./configuration.js";
import { RouteIndex } from "./route-index.js";

/** What is looked up for requests in one configuration version. */
export class ConfigurationVersion {
    /** Seats of all failure domains together. */
    readonly totalSeats: number;

    private constructor(
        readonly configuration: Configuration,
        readonly keys: KeyIndex,
        readonly routes: RouteIndex,
    ) {
        this.totalSeats = Object.values(configuration.failureDomains).reduce((sum, { seats }) => sum + seats, 0);
    }

    static create(configuration: Configuration): ConfigurationVersion {
        return new ConfigurationVersion(
            configuration,
            KeyIndex.create(configuration),
            RouteIndex.create(configuration),
        );
    }
}
