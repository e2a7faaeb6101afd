package org.radishpost.claims;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.radishpost.store.LogPage;
import org.radishpost.store.LogRecord;

/**
 * Decides the claims of one shard by the order of the records in its stream.
 *
 * <p>The caller passes in claims, ends of attempts and the results of actions. After each of these
 * calls, it calls {@link #advance} and performs the returned actions in any order. The shard
 * appends entries in batches, with one append in flight at a time. An attempt gets {@link
 * ClaimResult.Granted} only after the shard has read the stream up to the record of the claim and
 * the key was free at that record. Any number of shards on different VMs may use the same stream.
 *
 * <p>Not thread-safe. Times are nanoseconds of the monotonic clock.
 */
public final class ClaimShard {
  /** The state of the last append. */
  private enum AppendState {
    /** No append is in flight or unresolved. */
    IDLE,
    /** The append was started and its result has not been received. */
    IN_FLIGHT,
    /** The append failed and the record may be on the log now or later. */
    RESULT_UNKNOWN,
    /** The record was appended after other records that have not been read yet. */
    APPENDED_AHEAD
  }

  private final ClaimIndex index;
  private final AppendRateLimiter appendLimiter;
  private final Deque<PendingEntry> appendQueue = new ArrayDeque<>();
  private final Map<ClaimEntry.Identity, PendingEntry> pendingById = new HashMap<>();
  private final PriorityQueue<PendingEntry> pendingByDeadline = new PriorityQueue<>();
  private final List<ClaimAction> actions = new ArrayList<>();

  /** Entries to process after a read that has not started yet. */
  private List<PendingEntry> awaitingNextRead = new ArrayList<>();

  /** Entries to process once the current read or a later one reaches the end of the stream. */
  private List<PendingEntry> awaitingCurrentRead = new ArrayList<>();

  private List<PendingEntry> inFlightBatch = List.of();
  private AppendState appendState = AppendState.IDLE;
  private long appendedOffset;
  private long nextOffset = 1;
  private boolean caughtUpOnce;
  private boolean readInFlight;
  private long readFromOffset;

  /** Whether the current read started after the result of the append became unknown. */
  private boolean readResolvesAppend;

  private long nextRetryNanos;
  private long nextRefreshNanos;

  /**
   * Creates a shard that decides no claims until it has read all retained records of its stream.
   *
   * @param nowNanos the current time
   */
  public ClaimShard(long nowNanos) {
    index = new ClaimIndex(ClaimLimits.MAX_INDEX_BYTES);
    appendLimiter = new AppendRateLimiter(nowNanos);
    nextRetryNanos = nowNanos;
    nextRefreshNanos = nowNanos;
  }

  /**
   * Adds a claim; {@link ClaimAction.ReportResult} follows.
   *
   * @param requestId the ID under which the result is reported
   * @param request the claim
   * @param deadlineNanos the time at which the claim fails if it is not decided
   */
  public void claim(long requestId, ClaimRequest request, long deadlineNanos) {
    enqueue(new PendingEntry(requestId, ClaimEntry.claim(request), deadlineNanos));
  }

  /**
   * Adds the end of a granted attempt; {@link ClaimAction.ReportEndRecorded} follows.
   *
   * @param requestId the ID under which the result is reported
   * @param request the claim
   * @param outcome the outcome, empty if the attempt is withdrawn
   * @param deadlineNanos the time at which recording fails if the record is not on the log
   */
  public void end(
      long requestId, ClaimRequest request, Optional<ClaimOutcome> outcome, long deadlineNanos) {
    ClaimEntry entry =
        outcome
            .<ClaimEntry>map(recorded -> ClaimEntry.completion(request, recorded))
            .orElseGet(() -> ClaimEntry.withdrawal(request));
    if (entry instanceof ClaimEntry.Completion && !request.homeRegions().isEmpty()) {
      completeLocally(requestId, entry);
      return;
    }
    enqueue(new PendingEntry(requestId, entry, deadlineNanos));
  }

  /** Handles the success of the last append. */
  public void appended(LogRecord record) {
    if (record.offset() == nextOffset) {
      List<PendingEntry> batch = endAppend();
      nextOffset++;
      batch.forEach(pending -> apply(record.timeMillis(), pending.entry()));
      return;
    }
    if (record.offset() < nextOffset) {
      requeueBatch();
      return;
    }
    appendState = AppendState.APPENDED_AHEAD;
    appendedOffset = record.offset();
  }

  /** Handles a failure of the last append after which the record may be on the log now or later. */
  public void appendResultUnknown(long nowNanos) {
    appendState = AppendState.RESULT_UNKNOWN;
    readResolvesAppend = false;
    nextRetryNanos = nowNanos;
  }

  /**
   * Handles a failure of the last append after which the record is not on the log and never will
   * be.
   */
  public void appendFailed(long nowNanos) {
    requeueBatch();
    nextRetryNanos = nowNanos + ClaimLimits.RETRY_DELAY_NANOS;
  }

  /** Handles the success of the last read. */
  public void readCompleted(LogPage page, long nowNanos) {
    readInFlight = false;
    skipMissingRecords(page);
    for (LogRecord record : page.records()) {
      apply(record, nowNanos);
    }
    index.markIncompleteUntil(page.horizonMillis());
    if (appendState == AppendState.APPENDED_AHEAD && nextOffset > appendedOffset) {
      requeueBatch();
    }
    if (nextOffset >= page.nextOffset()) {
      onCaughtUp(nowNanos);
    }
  }

  /** Handles a failure of the last read. */
  public void readFailed(long nowNanos) {
    readInFlight = false;
    nextRetryNanos = nowNanos + ClaimLimits.RETRY_DELAY_NANOS;
  }

  /** Returns the actions to perform now. */
  public List<ClaimAction> advance(long nowNanos) {
    failExpired(nowNanos);
    startRead(nowNanos);
    startAppend(nowNanos);
    List<ClaimAction> dueActions = List.copyOf(actions);
    actions.clear();
    return dueActions;
  }

  /** Returns the time at which to call {@link #advance} if no other method is called before. */
  public long nextWakeNanos() {
    long wakeNanos = readInFlight ? Long.MAX_VALUE : nextReadNanos();
    if (needsAppend()) {
      wakeNanos = Math.min(wakeNanos, Math.max(nextRetryNanos, appendLimiter.nextAppendNanos()));
    }
    return pendingByDeadline.isEmpty()
        ? wakeNanos
        : Math.min(wakeNanos, pendingByDeadline.peek().deadlineNanos());
  }

  /** Returns the number of keys in the index. */
  public int keyCount() {
    return index.keyCount();
  }

  /** Returns the estimated memory that the index takes, in bytes. */
  public long indexBytes() {
    return index.estimatedBytes();
  }

  /** Returns whether an entry is pending or an append is unresolved. */
  public boolean hasPendingWork() {
    return !pendingById.isEmpty() || appendState != AppendState.IDLE;
  }

  /** Returns whether all retained records of the stream have been read. */
  public boolean isReady() {
    return caughtUpOnce;
  }

  private void enqueue(PendingEntry pending) {
    PendingEntry existing = pendingById.get(pending.entry().identity());
    if (existing != null) {
      existing.addRequestIds(pending.requestIds());
      return;
    }
    if (pendingById.size() >= ClaimLimits.MAX_PENDING_ENTRIES) {
      fail(pending);
      return;
    }
    pendingById.put(pending.entry().identity(), pending);
    pendingByDeadline.add(pending);
    process(pending);
  }

  /**
   * Stores an outcome in the index of this VM only, since outcomes for routes with home regions
   * must not be written to the log. The given record time is later than the time in any key, so
   * that no key counts as too far in the future.
   */
  private void completeLocally(long requestId, ClaimEntry entry) {
    index.apply(Long.MAX_VALUE / 2, entry);
    actions.add(new ClaimAction.ReportEndRecorded(requestId, true));
  }

  private void process(PendingEntry pending) {
    if (!caughtUpOnce) {
      awaitingNextRead.add(pending);
      return;
    }
    if (!(pending.entry() instanceof ClaimEntry.Claim claim)) {
      appendQueue.add(pending);
      return;
    }
    switch (index.currentResult(claim)) {
      case ClaimResult.Granted granted when index.holdsKey(claim) -> finish(pending, granted);
      case ClaimResult.Granted unused -> appendQueue.add(pending);
      case ClaimResult.Held unused -> awaitingNextRead.add(pending);
      case ClaimResult.Unavailable result -> finish(pending, result);
      case ClaimResult.Completed result -> finish(pending, result);
      case ClaimResult.KeyTooOld result -> finish(pending, result);
      case ClaimResult.KeyMisused unused -> awaitingNextRead.add(pending);
    }
  }

  private void processAfterRead(PendingEntry pending) {
    if (!isPending(pending)) {
      return;
    }
    if (pending.entry() instanceof ClaimEntry.Claim claim
        && !(index.currentResult(claim) instanceof ClaimResult.Granted)) {
      finish(pending, index.currentResult(claim));
      return;
    }
    process(pending);
  }

  private void onCaughtUp(long nowNanos) {
    caughtUpOnce = true;
    nextRefreshNanos = nowNanos + ClaimLimits.REFRESH_INTERVAL_NANOS;
    List<PendingEntry> caughtUpEntries = awaitingCurrentRead;
    awaitingCurrentRead = new ArrayList<>();
    caughtUpEntries.forEach(this::processAfterRead);
    if (appendState == AppendState.RESULT_UNKNOWN && readResolvesAppend) {
      requeueBatch();
    }
  }

  private void skipMissingRecords(LogPage page) {
    if (page.nextOffset() < readFromOffset) {
      actions.add(new ClaimAction.ReportRecordsLost(page.nextOffset()));
      index.markIncompleteUntil(page.timeMillis());
      nextOffset = page.nextOffset();
    }
    if (page.earliestOffset() > nextOffset) {
      index.markIncompleteUntil(page.horizonMillis());
      nextOffset = page.earliestOffset();
    }
  }

  private void apply(LogRecord record, long nowNanos) {
    if (record.offset() < nextOffset) {
      return;
    }
    if (record.offset() > nextOffset) {
      index.markIncompleteUntil(record.timeMillis());
    }
    nextOffset = record.offset() + 1;
    if (appendState != AppendState.APPENDED_AHEAD || record.offset() != appendedOffset) {
      appendLimiter.consume(nowNanos);
    }
    Optional<List<ClaimEntry>> entries = ClaimCodec.decode(record.payload());
    if (entries.isEmpty()) {
      actions.add(new ClaimAction.ReportUnreadableRecord(record.offset()));
      index.markIncompleteUntil(record.timeMillis());
      return;
    }
    entries.get().forEach(entry -> apply(record.timeMillis(), entry));
  }

  private void apply(long recordMillis, ClaimEntry entry) {
    ClaimResult result = index.apply(recordMillis, entry);
    PendingEntry pending = pendingById.get(entry.identity());
    if (pending != null) {
      finish(pending, result);
    }
  }

  private void failExpired(long nowNanos) {
    while (!pendingByDeadline.isEmpty()) {
      PendingEntry earliest = pendingByDeadline.peek();
      if (isPending(earliest) && earliest.deadlineNanos() > nowNanos) {
        return;
      }
      pendingByDeadline.poll();
      if (isPending(earliest)) {
        fail(earliest);
      }
    }
  }

  private boolean isPending(PendingEntry pending) {
    return pendingById.get(pending.entry().identity()) == pending;
  }

  private void finish(PendingEntry pending, ClaimResult result) {
    pendingById.remove(pending.entry().identity());
    boolean isClaim = pending.entry() instanceof ClaimEntry.Claim;
    for (long requestId : pending.requestIds()) {
      actions.add(
          isClaim
              ? new ClaimAction.ReportResult(requestId, result)
              : new ClaimAction.ReportEndRecorded(requestId, true));
    }
  }

  private void fail(PendingEntry pending) {
    pendingById.remove(pending.entry().identity());
    boolean isClaim = pending.entry() instanceof ClaimEntry.Claim;
    for (long requestId : pending.requestIds()) {
      actions.add(
          isClaim
              ? new ClaimAction.ReportResult(requestId, new ClaimResult.Unavailable())
              : new ClaimAction.ReportEndRecorded(requestId, false));
    }
  }

  private boolean needsRead() {
    return !caughtUpOnce
        || !awaitingNextRead.isEmpty()
        || !awaitingCurrentRead.isEmpty()
        || appendState == AppendState.RESULT_UNKNOWN
        || appendState == AppendState.APPENDED_AHEAD;
  }

  private long nextReadNanos() {
    return needsRead() ? nextRetryNanos : Math.max(nextRetryNanos, nextRefreshNanos);
  }

  private void startRead(long nowNanos) {
    if (readInFlight || nowNanos < nextReadNanos()) {
      return;
    }
    readInFlight = true;
    readFromOffset = nextOffset;
    awaitingCurrentRead.addAll(awaitingNextRead);
    awaitingNextRead = new ArrayList<>();
    readResolvesAppend = appendState == AppendState.RESULT_UNKNOWN;
    actions.add(new ClaimAction.Read(readFromOffset, ClaimLimits.MAX_RECORDS_PER_READ));
  }

  private boolean needsAppend() {
    return caughtUpOnce && appendState == AppendState.IDLE && !appendQueue.isEmpty();
  }

  private void startAppend(long nowNanos) {
    if (!needsAppend() || nowNanos < Math.max(nextRetryNanos, appendLimiter.nextAppendNanos())) {
      return;
    }
    List<PendingEntry> batch = takeBatch();
    if (batch.isEmpty()) {
      return;
    }
    inFlightBatch = batch;
    appendState = AppendState.IN_FLIGHT;
    appendLimiter.consume(nowNanos);
    List<ClaimEntry> entries = batch.stream().map(PendingEntry::entry).toList();
    actions.add(new ClaimAction.Append(ClaimCodec.encode(entries)));
  }

  private List<PendingEntry> takeBatch() {
    List<PendingEntry> batch = new ArrayList<>();
    int bytes = ClaimCodec.MAX_ENTRY_OVERHEAD_BYTES;
    while (!appendQueue.isEmpty()) {
      PendingEntry pending = appendQueue.peek();
      if (!isPending(pending)) {
        appendQueue.poll();
        continue;
      }
      bytes += ClaimCodec.maxEncodedBytes(pending.entry());
      if (bytes > ClaimLimits.MAX_RECORD_BYTES) {
        break;
      }
      batch.add(appendQueue.poll());
    }
    return batch;
  }

  private List<PendingEntry> endAppend() {
    List<PendingEntry> batch = inFlightBatch;
    inFlightBatch = List.of();
    appendState = AppendState.IDLE;
    return batch;
  }

  private void requeueBatch() {
    List<PendingEntry> batch = endAppend();
    batch.reversed().stream().filter(this::isPending).forEach(appendQueue::addFirst);
  }
}
