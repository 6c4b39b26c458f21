/**
 * Types of the only module of undici that nodes load.
 */
declare module "undici/lib/dispatcher/pool.js" {
    import { Pool } from "undici";

    export default Pool;
}
