package org.radishpost.platform;

import java.time.Duration;

/**
 * How a topic is read.
 *
 * @param longestWait how long one read waits for a record
 * @param pause the time between the end of a read and the next one
 */
record ReadPace(Duration longestWait, Duration pause) {}
