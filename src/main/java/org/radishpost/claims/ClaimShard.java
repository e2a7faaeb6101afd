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
 * Decides the claims of one shard by the order of its stream on the log.
 *
 * <p>Feed it asks, endings and the results of its actions; after each event call {@link #advance}
 * and carry out the actions it returns, in any order. It appends in batches, one at a time, and
 * answers an attempt with {@link ClaimAnswer.Granted} only when it has read its stream through the
 * record of the claim and the key was free there. Any number of shards on any number of VMs may
 * work on one stream.
 *
 * <p>Not thread-safe. Times are of the runtime's monotonic clock, in nanoseconds.
 */
public final class ClaimShard {
  private enum Append {
    NONE,
    SENT,
    UNKNOWN,
    LANDED_AHEAD
  }

  private final ClaimIndex index;
  private final AppendBudget budget;
  private final Deque<ClaimWork> queue = new ArrayDeque<>();
  private final Map<ClaimEntry.Identity, ClaimWork> open = new HashMap<>();
  private final PriorityQueue<ClaimWork> byDeadline = new PriorityQueue<>();
  private final List<ClaimAction> actions = new ArrayList<>();
  private List<ClaimWork> unread = new ArrayList<>();
  private List<ClaimWork> covered = new ArrayList<>();
  private List<ClaimWork> inFlight = List.of();
  private Append append = Append.NONE;
  private long landedOffset;
  private long nextOffset = 1;
  private boolean caughtUpOnce;
  private boolean reading;
  private long readFrom;
  private boolean readCoversAppend;
  private long retryNanos;
  private long refreshNanos;

  /** Creates one that has yet to read the retained stream. */
  public ClaimShard(long nowNanos) {
    index = new ClaimIndex(ClaimLimits.MAX_INDEX_BYTES);
    budget = new AppendBudget(nowNanos);
    retryNanos = nowNanos;
    refreshNanos = nowNanos;
  }

  /**
   * Takes the wish for a claim.
   *
   * @param ask the number that the answer bears
   * @param request the claim
   * @param deadlineNanos when the asker stops waiting
   */
  public void ask(long ask, ClaimRequest request, long deadlineNanos) {
    take(new ClaimWork(ask, ClaimEntry.claim(request), deadlineNanos));
  }

  /**
   * Takes how an attempt ended; {@link ClaimAction.EndRecorded} follows.
   *
   * @param ask the number that the answer bears
   * @param request the claim
   * @param outcome the outcome, empty when the attempt is withdrawn
   * @param deadlineNanos when to give up
   */
  public void end(
      long ask, ClaimRequest request, Optional<ClaimOutcome> outcome, long deadlineNanos) {
    ClaimEntry entry =
        outcome
            .<ClaimEntry>map(known -> ClaimEntry.settlement(request, known))
            .orElseGet(() -> ClaimEntry.withdrawal(request));
    if (entry instanceof ClaimEntry.Settlement && !request.homeRegions().isEmpty()) {
      settleUnrecorded(ask, entry);
      return;
    }
    take(new ClaimWork(ask, entry, deadlineNanos));
  }

  /** Takes the place of the record that was last to be appended. */
  public void landed(LogRecord record) {
    if (record.offset() == nextOffset) {
      List<ClaimWork> batch = finishAppend();
      nextOffset++;
      batch.forEach(work -> apply(record.timeMillis(), work.entry()));
      return;
    }
    if (record.offset() < nextOffset) {
      requeue();
      return;
    }
    append = Append.LANDED_AHEAD;
    landedOffset = record.offset();
  }

  /**
   * Notes that the record that was last to be appended may or may not have landed, or still may.
   */
  public void appendUnknown(long nowNanos) {
    append = Append.UNKNOWN;
    readCoversAppend = false;
    retryNanos = nowNanos;
  }

  /** Notes that the record that was last to be appended has not landed and will not. */
  public void appendRefused(long nowNanos) {
    requeue();
    retryNanos = nowNanos + ClaimLimits.RETRY_NANOS;
  }

  /** Takes the answer to the last read. */
  public void read(LogPage page, long nowNanos) {
    reading = false;
    skipGap(page);
    for (LogRecord record : page.records()) {
      apply(record, nowNanos);
    }
    index.missed(page.horizonMillis());
    if (append == Append.LANDED_AHEAD && nextOffset > landedOffset) {
      requeue();
    }
    if (nextOffset >= page.nextOffset()) {
      caughtUp(nowNanos);
    }
  }

  /** Notes that the last read failed. */
  public void readFailed(long nowNanos) {
    reading = false;
    retryNanos = nowNanos + ClaimLimits.RETRY_NANOS;
  }

  /** Returns what is to be done now. */
  public List<ClaimAction> advance(long nowNanos) {
    expire(nowNanos);
    startRead(nowNanos);
    startAppend(nowNanos);
    List<ClaimAction> taken = List.copyOf(actions);
    actions.clear();
    return taken;
  }

  /** Returns when {@link #advance} is to be called next if nothing happens. */
  public long wakeNanos() {
    long wake = reading ? Long.MAX_VALUE : readDueNanos();
    if (wantsAppend()) {
      wake = Math.min(wake, Math.max(retryNanos, budget.readyNanos()));
    }
    return byDeadline.isEmpty() ? wake : Math.min(wake, byDeadline.peek().deadlineNanos());
  }

  /** Returns the number of keys in memory. */
  public int keys() {
    return index.size();
  }

  /** Returns the memory that they take, by estimate. */
  public long indexBytes() {
    return index.bytes();
  }

  /** Tells whether claims or endings wait. */
  public boolean busy() {
    return !open.isEmpty() || append != Append.NONE;
  }

  /** Tells whether the retained stream has been read through. */
  public boolean ready() {
    return caughtUpOnce;
  }

  private void take(ClaimWork work) {
    ClaimWork same = open.get(work.entry().identity());
    if (same != null) {
      same.join(work.asks());
      return;
    }
    if (open.size() >= ClaimLimits.MAX_OPEN) {
      fail(work);
      return;
    }
    open.put(work.entry().identity(), work);
    byDeadline.add(work);
    route(work);
  }

  private void settleUnrecorded(long ask, ClaimEntry entry) {
    index.apply(Long.MAX_VALUE / 2, entry);
    actions.add(new ClaimAction.EndRecorded(ask, true));
  }

  private void route(ClaimWork work) {
    if (!caughtUpOnce) {
      unread.add(work);
      return;
    }
    if (!(work.entry() instanceof ClaimEntry.Claim claim)) {
      queue.add(work);
      return;
    }
    switch (index.look(claim)) {
      case ClaimAnswer.Granted granted when index.holds(claim) -> close(work, granted);
      case ClaimAnswer.Granted unused -> queue.add(work);
      case ClaimAnswer.Held unused -> unread.add(work);
      case ClaimAnswer.Unavailable answer -> close(work, answer);
      case ClaimAnswer.Settled answer -> close(work, answer);
      case ClaimAnswer.KeyTooOld answer -> close(work, answer);
      case ClaimAnswer.KeyMisused unused -> unread.add(work);
    }
  }

  private void routeAfterRead(ClaimWork work) {
    if (!isOpen(work)) {
      return;
    }
    if (work.entry() instanceof ClaimEntry.Claim claim
        && !(index.look(claim) instanceof ClaimAnswer.Granted)) {
      close(work, index.look(claim));
      return;
    }
    route(work);
  }

  private void caughtUp(long nowNanos) {
    caughtUpOnce = true;
    refreshNanos = nowNanos + ClaimLimits.REFRESH_NANOS;
    List<ClaimWork> ready = covered;
    covered = new ArrayList<>();
    ready.forEach(this::routeAfterRead);
    if (append == Append.UNKNOWN && readCoversAppend) {
      requeue();
    }
  }

  private void skipGap(LogPage page) {
    if (page.nextOffset() < readFrom) {
      actions.add(new ClaimAction.ReportCut(page.nextOffset()));
      index.missed(page.timeMillis());
      nextOffset = page.nextOffset();
    }
    if (page.earliestOffset() > nextOffset) {
      index.missed(page.horizonMillis());
      nextOffset = page.earliestOffset();
    }
  }

  private void apply(LogRecord record, long nowNanos) {
    if (record.offset() < nextOffset) {
      return;
    }
    if (record.offset() > nextOffset) {
      index.missed(record.timeMillis());
    }
    nextOffset = record.offset() + 1;
    if (append != Append.LANDED_AHEAD || record.offset() != landedOffset) {
      budget.spend(nowNanos);
    }
    Optional<List<ClaimEntry>> entries = ClaimCodec.decode(record.payload());
    if (entries.isEmpty()) {
      actions.add(new ClaimAction.ReportUnreadable(record.offset()));
      index.missed(record.timeMillis());
      return;
    }
    entries.get().forEach(entry -> apply(record.timeMillis(), entry));
  }

  private void apply(long recordMillis, ClaimEntry entry) {
    ClaimAnswer answer = index.apply(recordMillis, entry);
    ClaimWork work = open.get(entry.identity());
    if (work != null) {
      close(work, answer);
    }
  }

  private void expire(long nowNanos) {
    while (!byDeadline.isEmpty()) {
      ClaimWork first = byDeadline.peek();
      if (isOpen(first) && first.deadlineNanos() > nowNanos) {
        return;
      }
      byDeadline.poll();
      if (isOpen(first)) {
        fail(first);
      }
    }
  }

  private boolean isOpen(ClaimWork work) {
    return open.get(work.entry().identity()) == work;
  }

  private void close(ClaimWork work, ClaimAnswer answer) {
    open.remove(work.entry().identity());
    boolean claim = work.entry() instanceof ClaimEntry.Claim;
    for (long ask : work.asks()) {
      actions.add(
          claim ? new ClaimAction.Answer(ask, answer) : new ClaimAction.EndRecorded(ask, true));
    }
  }

  private void fail(ClaimWork work) {
    open.remove(work.entry().identity());
    boolean claim = work.entry() instanceof ClaimEntry.Claim;
    for (long ask : work.asks()) {
      actions.add(
          claim
              ? new ClaimAction.Answer(ask, new ClaimAnswer.Unavailable())
              : new ClaimAction.EndRecorded(ask, false));
    }
  }

  private boolean wantsRead() {
    return !caughtUpOnce
        || !unread.isEmpty()
        || !covered.isEmpty()
        || append == Append.UNKNOWN
        || append == Append.LANDED_AHEAD;
  }

  private long readDueNanos() {
    return wantsRead() ? retryNanos : Math.max(retryNanos, refreshNanos);
  }

  private void startRead(long nowNanos) {
    if (reading || nowNanos < readDueNanos()) {
      return;
    }
    reading = true;
    readFrom = nextOffset;
    covered.addAll(unread);
    unread = new ArrayList<>();
    readCoversAppend = append == Append.UNKNOWN;
    actions.add(new ClaimAction.Read(readFrom, ClaimLimits.READ_RECORDS));
  }

  private boolean wantsAppend() {
    return caughtUpOnce && append == Append.NONE && !queue.isEmpty();
  }

  private void startAppend(long nowNanos) {
    if (!wantsAppend() || nowNanos < Math.max(retryNanos, budget.readyNanos())) {
      return;
    }
    List<ClaimWork> batch = takeBatch();
    if (batch.isEmpty()) {
      return;
    }
    inFlight = batch;
    append = Append.SENT;
    budget.spend(nowNanos);
    List<ClaimEntry> entries = batch.stream().map(ClaimWork::entry).toList();
    actions.add(new ClaimAction.Append(ClaimCodec.encode(entries)));
  }

  private List<ClaimWork> takeBatch() {
    List<ClaimWork> batch = new ArrayList<>();
    int bytes = ClaimCodec.ENTRY_BYTES;
    while (!queue.isEmpty()) {
      ClaimWork work = queue.peek();
      if (!isOpen(work)) {
        queue.poll();
        continue;
      }
      bytes += ClaimCodec.size(work.entry());
      if (bytes > ClaimLimits.MAX_RECORD_BYTES) {
        break;
      }
      batch.add(queue.poll());
    }
    return batch;
  }

  private List<ClaimWork> finishAppend() {
    List<ClaimWork> batch = inFlight;
    inFlight = List.of();
    append = Append.NONE;
    return batch;
  }

  private void requeue() {
    List<ClaimWork> batch = finishAppend();
    batch.reversed().stream().filter(this::isOpen).forEach(queue::addFirst);
  }
}
