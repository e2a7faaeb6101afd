package org.radishpost.claims;

/** What a {@link ClaimShard} wants done. */
public sealed interface ClaimAction {
  /**
   * Append a record; exactly one of {@link ClaimShard#landed}, {@link ClaimShard#appendUnknown} and
   * {@link ClaimShard#appendRefused} must follow.
   *
   * @param payload the record
   */
  record Append(byte[] payload) implements ClaimAction {}

  /**
   * Read the stream without waiting; exactly one of {@link ClaimShard#read} and {@link
   * ClaimShard#readFailed} must follow.
   *
   * @param fromOffset the first offset wanted
   * @param maxRecords the most records wanted
   */
  record Read(long fromOffset, int maxRecords) implements ClaimAction {}

  /**
   * Answer an ask.
   *
   * @param ask the number given with the ask
   * @param answer the answer
   */
  record Answer(long ask, ClaimAnswer answer) implements ClaimAction {}

  /**
   * Tell who gave an ending whether it is on the log.
   *
   * @param ask the number given with the ending
   * @param recorded false when it may not be
   */
  record EndRecorded(long ask, boolean recorded) implements ClaimAction {}

  /**
   * Say that a record was met which this version cannot read.
   *
   * @param offset the place of the record
   */
  record ReportUnreadable(long offset) implements ClaimAction {}

  /**
   * Say that the stream has lost records that were read before.
   *
   * @param offset the offset that the stream's next append will get
   */
  record ReportCut(long offset) implements ClaimAction {}
}
