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

  /** A link to a peer stands. */
  LINK_UP(3001, Level.INFO),
  /** No link to the peer stands any more, or it could not be reached. */
  LINK_DOWN(3002, Level.WARN),
  /** A connection was closed because its peer broke the link protocol or holds another key. */
  LINK_REFUSED(3003, Level.WARN),
  /** A message of a type or version came that this release does not know; it was left out. */
  LINK_MESSAGE_UNSUPPORTED(3004, Level.WARN);

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
