/**
 * Types of the one module of the HTTP library that nodes load.
 */
declare module "undici/lib/dispatcher/pool.js" {
    import { Pool } from "undici";

    export default Pool;
}
