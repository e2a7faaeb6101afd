package org.radishpost.events;

/**
 * The numbered events of the system; docs/EVENTS.md explains each.
 *
 * <p>Numbers are never used again. The first digit tells the part: 1 process, 2 configuration, 3
 * membership and links, 4 calls, 5 pools and targets, 6 claims, 7 administration, 8 platform, 9
 * stand-ins and bench.
 */
public enum EventCode {
  /** The process has started. */
  STARTED(1001, Level.INFO),
  /** The process takes callers' requests. */
  READY(1002, Level.INFO),
  /** The process no longer takes callers' requests. */
  NOT_READY(1003, Level.WARN),
  /** A graceful shutdown has begun. */
  STOPPING(1004, Level.INFO),
  /** The process has stopped. */
  STOPPED(1005, Level.INFO),

  /** This VM has read a claim stream through and answers for its keys. */
  CLAIM_STREAM_READY(6001, Level.INFO),
  /** A record of a claim stream is not of a known version. */
  CLAIM_RECORD_UNREADABLE(6002, Level.ERROR),
  /** A claim stream has lost records that were read before. */
  CLAIM_STREAM_CUT(6003, Level.ERROR),
  /** The log does not answer for a claim stream. */
  CLAIM_LOG_FAILING(6004, Level.WARN),
  /** The log answers again for a claim stream. */
  CLAIM_LOG_BACK(6005, Level.INFO),
  /** The outcome or the withdrawal of a claim could not be recorded. */
  CLAIM_END_LOST(6006, Level.WARN);

  /** How much an event matters. */
  public enum Level {
    /** Detail for debugging. */
    DEBUG,
    /** Part of normal work. */
    INFO,
    /** Needs an eye, the system copes by itself. */
    WARN,
    /** Needs an operator. */
    ERROR
  }

  private final int number;
  private final Level level;

  EventCode(int number, Level level) {
    this.number = number;
    this.level = level;
  }

  /** Returns the number, which never changes. */
  public int number() {
    return number;
  }

  /** Returns the level. */
  public Level level() {
    return level;
  }
}
