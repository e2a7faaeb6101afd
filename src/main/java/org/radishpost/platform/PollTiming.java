package org.radishpost.platform;

import java.time.Duration;

/**
 * How a topic is read.
 *
 * @param maxWait how long one read waits for a record
 * @param pause the time between the end of a read and the next one
 */
record PollTiming(Duration maxWait, Duration pause) {}
