package org.radishpost.platform;

import java.time.Duration;

/**
 * The timing of the reads of a topic.
 *
 * @param maxWait the time that the store waits for a new record before it responds to a read
 * @param pause the time between the end of a read and the next one
 */
record PollTiming(Duration maxWait, Duration pause) {}
