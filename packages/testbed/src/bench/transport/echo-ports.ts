/**
 * Port offsets of the echo servers, relative to the first port.
 */
export const echoPortOffsets = { plain: 0, express: 1, connect: 2 } as const;
