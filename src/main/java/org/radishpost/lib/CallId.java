package org.radishpost.lib;

/**
 * The identity of one attempt of one call within one VM process.
 *
 * @param value a number that the process uses once
 */
public record CallId(long value) {}
