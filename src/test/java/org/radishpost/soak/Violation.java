package org.radishpost.soak;

/**
 * A violation of a promise.
 *
 * @param promise the name of the promise in docs/PROMISES.md
 * @param description what was observed
 */
record Violation(String promise, String description) {}
