package org.radishpost.soak;

/**
 * A promise that was broken.
 *
 * @param promise the name of the promise, as docs/PROMISES.md has it
 * @param description what was seen
 */
record Violation(String promise, String description) {}
