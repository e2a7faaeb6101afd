package org.radishpost.events;

/**
 * The numbered events of the system; docs/EVENTS.md describes each of them.
 *
 * <p>Numbers are never reused. The first digit stands for the subsystem: 1 process, 2
 * configuration, 3 membership and links, 4 calls, 5 pools and targets, 6 claims, 7 administration,
 * 8 platform, 9 stand-ins and bench.
 */
public enum EventCode {
  /** The process has started. */
  STARTED(1001, Level.INFO),
  /** The process accepts callers' requests. */
  READY(1002, Level.INFO),
  /** The process no longer accepts callers' requests. */
  NOT_READY(1003, Level.WARN),
  /** A graceful shutdown has begun. */
  STOPPING(1004, Level.INFO),
  /** The process has stopped. */
  STOPPED(1005, Level.INFO),
  /** The settings file was reloaded. */
  SETTINGS_RELOADED(1006, Level.INFO),
  /** The settings file could not be reloaded; the previous settings stay active. */
  SETTINGS_UNREADABLE(1007, Level.WARN),

  /** A newer configuration is active on this VM. */
  CONFIG_APPLIED(2001, Level.INFO),
  /** This VM has caught up with all configuration versions reported to it; emitted once. */
  CONFIG_CAUGHT_UP(2002, Level.INFO),
  /** The log no longer retains the next records; a snapshot is needed to close the gap. */
  CONFIG_GAP(2003, Level.WARN),
  /** This VM has appended a snapshot of the configuration. */
  CONFIG_SNAPSHOT_WRITTEN(2004, Level.INFO),
  /** A snapshot from the log or from a peer could not be read and was skipped. */
  CONFIG_SNAPSHOT_MALFORMED(2005, Level.ERROR),
  /**
   * The log's newest record is older than one that this VM has applied; the log has lost records.
   */
  CONFIG_LOG_WENT_BACK(2006, Level.ERROR),
  /** The part of the configuration that a peer requested could not be sent to it in one message. */
  CONFIG_PEER_UNSERVED(2007, Level.WARN),

  /** A desired state or a part of it cannot be read; the previous one stays active. */
  CONFIG_UNREADABLE(2008, Level.ERROR),

  /** A link to a peer is established. */
  LINK_UP(3001, Level.INFO),
  /** The last link to a peer was closed, or the peer could not be reached. */
  LINK_DOWN(3002, Level.WARN),
  /** A connection was closed because its peer violated the link protocol or uses another key. */
  LINK_REFUSED(3003, Level.WARN),
  /** A message was ignored because this release does not support its type or version. */
  LINK_MESSAGE_UNSUPPORTED(3004, Level.WARN),

  /** A call was retried. */
  CALL_RETRIED(4201, Level.DEBUG),
  /** A call was hedged: it was also sent to a second target. */
  CALL_HEDGED(4202, Level.DEBUG),
  /** The owner of a pool handed a call back without sending it to a target. */
  CALL_HANDED_BACK(4203, Level.DEBUG),
  /** The retry budget of this VM is exhausted. */
  RETRY_BUDGET_EMPTY(4204, Level.WARN),

  /** A call was refused and has not run. */
  CALL_REFUSED(4205, Level.INFO),
  /** A call failed and may have run. */
  CALL_FAILED(4206, Level.INFO),
  /** A call was sent to another target. */
  CALL_RESENT(4207, Level.INFO),
  /** A caller disconnected before it received a response. */
  CALL_ABANDONED(4208, Level.INFO),
  /** A call succeeded; only a sample of these calls is logged. */
  CALL_ANSWERED(4209, Level.INFO),
  /** Log lines about calls were suppressed to limit the size of the log. */
  CALL_LINES_LEFT_OUT(4210, Level.INFO),
  /** The calls and probes of the last seconds, and how late this VM processed its timers. */
  LOAD_SUMMARY(4211, Level.INFO),

  /** This VM became the owner of a pool. */
  POOL_TAKEN(5001, Level.INFO),
  /** This VM gave up the ownership of a pool. */
  POOL_RELEASED(5002, Level.INFO),
  /** A target changed its state. */
  TARGET_STATE_CHANGED(5003, Level.INFO),
  /** A target was ejected as an outlier. */
  TARGET_EJECTED(5004, Level.WARN),
  /** A target crashed while a request was running on it. */
  SUSPECT_COUNTED(5005, Level.WARN),
  /** A request that is suspected of crashing targets was refused. */
  SUSPECT_REFUSED(5006, Level.WARN),

  /** A target registered itself. */
  TARGET_REGISTERED(5007, Level.INFO),
  /** A target announced that it is leaving. */
  TARGET_LEAVING(5008, Level.INFO),
  /** The entry of a target no longer exists. */
  TARGET_GONE(5009, Level.INFO),
  /** The entry of a target cannot be read; the target is not used. */
  TARGET_ENTRY_UNREADABLE(5010, Level.WARN),
  /** A target does not respond or is unhealthy; it receives no calls for some time. */
  TARGET_PAUSED(5011, Level.INFO),
  /** A target has crashed, and calls that were in flight to it were lost. */
  TARGET_CRASHED(5012, Level.WARN),
  /** A target has sent responses that no request waited for. */
  TARGET_SURPLUS(5013, Level.WARN),
  /** A target has sent malformed responses. */
  TARGET_MALFORMED(5014, Level.WARN),
  /** An entry of a target is older than what is known of the target; it is not used. */
  TARGET_ENTRY_SUPERSEDED(5015, Level.INFO),

  /** This VM has read a claim stream to its end and can decide claims for its keys. */
  CLAIM_STREAM_READY(6001, Level.INFO),
  /** A record of a claim stream has an unknown version. */
  CLAIM_RECORD_UNREADABLE(6002, Level.ERROR),
  /** A claim stream has lost records that this VM had already read. */
  CLAIM_STREAM_CUT(6003, Level.ERROR),
  /** The log does not respond to requests for a claim stream. */
  CLAIM_LOG_FAILING(6004, Level.WARN),
  /** The log responds again to requests for a claim stream. */
  CLAIM_LOG_BACK(6005, Level.INFO),
  /** The outcome or the withdrawal of a claim could not be recorded. */
  CLAIM_END_LOST(6006, Level.WARN),

  /** A change was requested through the administration API. */
  ADMIN_CHANGE(7001, Level.INFO),
  /** A request to the administration API had no known token. */
  ADMIN_TOKEN_REFUSED(7002, Level.WARN),

  /** The platform's log has not responded for a long time. */
  LOG_SILENT(8001, Level.WARN),
  /** The platform's log responds again. */
  LOG_HEARD(8002, Level.INFO),
  /** The platform's store does not respond to requests for a topic. */
  STORE_LOST(8003, Level.WARN),
  /** The platform's store responds again to requests for a topic. */
  STORE_REGAINED(8004, Level.INFO),
  /** The next records of a topic were deleted; the topic is read again from a snapshot. */
  STORE_RESYNC(8005, Level.INFO),
  /** This VM follows a relay and no longer reads the store itself. */
  RELAY_FOLLOWED(8006, Level.INFO),
  /** The relay that this VM followed is unavailable; this VM reads the store itself. */
  RELAY_LEFT(8007, Level.WARN),
  /** This VM requests slots of targets from the broker of a relay. */
  BROKER_CONNECTED(8008, Level.INFO),
  /** The broker of a relay is unavailable; this VM asks another one or selects targets itself. */
  BROKER_LOST(8009, Level.WARN),
  /** The store was restored from an earlier copy; a topic starts anew. */
  STORE_RESTORED(8010, Level.WARN),
  /** A topic has been read again after the store was restored. */
  STORE_RECOVERED(8011, Level.INFO);

  /** The severity of an event. */
  public enum Level {
    /** Detail for debugging. */
    DEBUG,
    /** Normal operation. */
    INFO,
    /** Deserves attention; the system recovers without an operator. */
    WARN,
    /** Requires an operator. */
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
