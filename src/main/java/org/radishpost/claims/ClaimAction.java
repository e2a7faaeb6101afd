package org.radishpost.claims;

/** An action that the caller of a {@link ClaimShard} must perform. */
public sealed interface ClaimAction {
  /**
   * Append a record to the stream; afterwards call exactly one of {@link ClaimShard#appended},
   * {@link ClaimShard#appendResultUnknown} and {@link ClaimShard#appendFailed}.
   *
   * @param payload the encoded record
   */
  record Append(byte[] payload) implements ClaimAction {}

  /**
   * Read the stream without waiting for new records; afterwards call exactly one of {@link
   * ClaimShard#readCompleted} and {@link ClaimShard#readFailed}.
   *
   * @param fromOffset the first offset to read
   * @param maxRecords the maximum number of records to read
   */
  record Read(long fromOffset, int maxRecords) implements ClaimAction {}

  /**
   * Report the result of a claim.
   *
   * @param requestId the ID passed to {@link ClaimShard#claim}
   * @param result the result
   */
  record ReportResult(long requestId, ClaimResult result) implements ClaimAction {}

  /**
   * Report whether the end of an attempt is recorded.
   *
   * @param requestId the ID passed to {@link ClaimShard#end}
   * @param recorded whether the end is known to be recorded
   */
  record ReportEndRecorded(long requestId, boolean recorded) implements ClaimAction {}

  /**
   * Report a record that this version cannot decode.
   *
   * @param offset the offset of the record
   */
  record ReportUnreadableRecord(long offset) implements ClaimAction {}

  /**
   * Report that the stream has lost records that were already read.
   *
   * @param nextOffset the offset of the next record that is appended to the stream
   */
  record ReportRecordsLost(long nextOffset) implements ClaimAction {}
}
