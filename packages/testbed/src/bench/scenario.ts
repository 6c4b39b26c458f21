/**
 * Interface of the scenarios of the bench.
 */

/** Measures by name; each is a plain number. */
export type Measures = Readonly<Record<string, number>>;

/** One scenario; prints its progress to standard error and returns its measures. */
export interface Scenario {
    readonly name: string;
    /** What the scenario measures, in one line. */
    readonly description: string;
    run(): Promise<Measures>;
}
