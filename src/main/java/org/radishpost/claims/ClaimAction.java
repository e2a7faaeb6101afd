package org.radishpost.claims;

/** What a {@link ClaimShard} wants done. */
public sealed interface ClaimAction {
  /**
   * Append a record; exactly one of {@link ClaimShard#appended}, {@link
   * ClaimShard#appendResultUnknown} and {@link ClaimShard#appendFailed} must follow.
   *
   * @param payload the record
   */
  record Append(byte[] payload) implements ClaimAction {}

  /**
   * Read the stream without waiting; exactly one of {@link ClaimShard#readCompleted} and {@link
   * ClaimShard#readFailed} must follow.
   *
   * @param fromOffset the first offset wanted
   * @param maxRecords the most records wanted
   */
  record Read(long fromOffset, int maxRecords) implements ClaimAction {}

  /**
   * Answer an ask.
   *
   * @param requestId the number given with the ask
   * @param result the answer
   */
  record ReportResult(long requestId, ClaimResult result) implements ClaimAction {}

  /**
   * Tell who gave an ending whether it is on the log.
   *
   * @param requestId the number given with the ending
   * @param recorded false when it may not be
   */
  record ReportEndRecorded(long requestId, boolean recorded) implements ClaimAction {}

  /**
   * Say that a record was met which this version cannot read.
   *
   * @param offset the place of the record
   */
  record ReportUnreadableRecord(long offset) implements ClaimAction {}

  /**
   * Say that the stream has lost records that were read before.
   *
   * @param nextOffset the offset that the stream's next append will get
   */
  record ReportRecordsLost(long nextOffset) implements ClaimAction {}
}
