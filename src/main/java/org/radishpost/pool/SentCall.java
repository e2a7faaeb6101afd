package org.radishpost.pool;

import org.radishpost.lib.CallFacts;

/** A call that runs on a target. */
record SentCall(CallFacts call, TargetTracker target, long sentNanos) {}
