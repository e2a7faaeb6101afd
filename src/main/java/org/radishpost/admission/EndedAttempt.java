package org.radishpost.admission;

import org.radishpost.lib.CallFacts;

/**
 * What a VM knows of a call when an attempt of it has ended.
 *
 * @param call the call
 * @param allowance what it had when the attempt began
 * @param reroutes how often it was given another pool or target without having reached one
 * @param mayHaveRun whether a byte of it may have reached a target in this or an earlier attempt
 *     that did not say that it had shed it
 * @param responseStarted whether a byte of an answer went to the caller
 * @param bodyReplayable whether the whole body can be sent again
 * @param expectedDurationNanos the time that a further attempt is expected to take
 */
public record EndedAttempt(
    CallFacts call,
    RetryAllowance allowance,
    int reroutes,
    boolean mayHaveRun,
    boolean responseStarted,
    boolean bodyReplayable,
    long expectedDurationNanos) {}
