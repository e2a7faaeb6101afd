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
  /** The settings file was read again. */
  SETTINGS_RELOADED(1006, Level.INFO),
  /** The settings file could not be read again; the settings before stay in force. */
  SETTINGS_UNREADABLE(1007, Level.WARN),

  /** A newer configuration is in force on this VM. */
  CONFIG_APPLIED(2001, Level.INFO),
  /** This VM knows a configuration as new as any it was told of, for the first time. */
  CONFIG_CAUGHT_UP(2002, Level.INFO),
  /** The log no longer keeps the records that come next; a snapshot has to bridge the gap. */
  CONFIG_GAP(2003, Level.WARN),
  /** This VM has appended a snapshot of the configuration. */
  CONFIG_SNAPSHOT_WRITTEN(2004, Level.INFO),
  /** A snapshot from the log or from a peer could not be read; it was left out. */
  CONFIG_SNAPSHOT_MALFORMED(2005, Level.ERROR),
  /** The log's last record is older than what this VM has applied; the log has lost records. */
  CONFIG_LOG_WENT_BACK(2006, Level.ERROR),
  /** A peer wanted more of the configuration than one message to it could hold or carry. */
  CONFIG_PEER_UNSERVED(2007, Level.WARN),

  /** A desired state or a part of it can't be read; the one before stays in force. */
  CONFIG_UNREADABLE(2008, Level.ERROR),

  /** A link to a peer stands. */
  LINK_UP(3001, Level.INFO),
  /** No link to the peer stands any more, or it could not be reached. */
  LINK_DOWN(3002, Level.WARN),
  /** A connection was closed because its peer broke the link protocol or holds another key. */
  LINK_REFUSED(3003, Level.WARN),
  /** A message of a type or version came that this release does not know; it was left out. */
  LINK_MESSAGE_UNSUPPORTED(3004, Level.WARN),

  /** A call was sent again. */
  CALL_RETRIED(4201, Level.DEBUG),
  /** A call was also sent to a second target. */
  CALL_HEDGED(4202, Level.DEBUG),
  /** The owner of a pool gave a call back unsent. */
  CALL_HANDED_BACK(4203, Level.DEBUG),
  /** The retry budget of this VM is used up. */
  RETRY_BUDGET_EMPTY(4204, Level.WARN),

  /** A call was refused: it has not run. */
  CALL_REFUSED(4205, Level.INFO),
  /** A call failed: it may have run. */
  CALL_FAILED(4206, Level.INFO),
  /** A call was sent to another target. */
  CALL_RESENT(4207, Level.INFO),
  /** A caller left before its answer. */
  CALL_ABANDONED(4208, Level.INFO),
  /** One of many calls that went well. */
  CALL_ANSWERED(4209, Level.INFO),
  /** So many lines on calls were left out to bound the log. */
  CALL_LINES_LEFT_OUT(4210, Level.INFO),

  /** This VM became the owner of a pool. */
  POOL_TAKEN(5001, Level.INFO),
  /** This VM gave a pool up. */
  POOL_RELEASED(5002, Level.INFO),
  /** A target changed its state. */
  TARGET_STATE_CHANGED(5003, Level.INFO),
  /** A target was ejected as an outlier. */
  TARGET_EJECTED(5004, Level.WARN),
  /** A target crashed while a request ran on it. */
  SUSPECT_COUNTED(5005, Level.WARN),
  /** A request that crashes targets was refused. */
  SUSPECT_REFUSED(5006, Level.WARN),

  /** A target has registered itself. */
  TARGET_REGISTERED(5007, Level.INFO),
  /** A target reports that it is leaving. */
  TARGET_LEAVING(5008, Level.INFO),
  /** A target's entry is gone. */
  TARGET_GONE(5009, Level.INFO),
  /** A target's entry can't be read; it names no target to use. */
  TARGET_ENTRY_UNREADABLE(5010, Level.WARN),
  /** A target doesn't answer or isn't well; it gets a pause. */
  TARGET_PAUSED(5011, Level.INFO),

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
  CLAIM_END_LOST(6006, Level.WARN),

  /** A change was wanted through the administration API. */
  ADMIN_CHANGE(7001, Level.INFO),
  /** A request to the administration API had no known token. */
  ADMIN_TOKEN_REFUSED(7002, Level.WARN),

  /** The platform's log has been silent for long. */
  LOG_SILENT(8001, Level.WARN),
  /** The platform's log answers again. */
  LOG_HEARD(8002, Level.INFO),
  /** The platform's store doesn't answer for a topic. */
  STORE_LOST(8003, Level.WARN),
  /** The platform's store answers again for a topic. */
  STORE_REGAINED(8004, Level.INFO),
  /** The records that come next were deleted; the topic is read anew. */
  STORE_RESYNC(8005, Level.INFO),
  /** Another VM passes on what the store says; this one no longer reads it. */
  RELAY_FOLLOWED(8006, Level.INFO),
  /** The VM that passed on what the store says is lost; this one reads the store itself. */
  RELAY_LEFT(8007, Level.WARN);

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
