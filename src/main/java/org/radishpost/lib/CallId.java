package org.radishpost.lib;

/**
 * Identifies one attempt of a call within one VM process.
 *
 * @param value a number that the process never reuses
 */
public record CallId(long value) {}
