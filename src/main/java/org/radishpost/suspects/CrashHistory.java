package org.radishpost.suspects;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.radishpost.lib.Digest;

/**
 * The recent crashes of targets that are shared by all VMs, and the requests that were lost in
 * them.
 *
 * <p>A request is blocked after {@value #BLOCKING_CRASHES} crashes that count for it:
 *
 * <ul>
 *   <li>A crash does not count for a request that has been answered since, because a request that
 *       crashes its targets is never answered.
 *   <li>Crashes of several targets to which the request was in flight at the same time count once,
 *       because one failure may have ended all of them.
 *   <li>A crash does not count for a request if another one lost in it was lost in more crashes.
 * </ul>
 *
 * <p>Each VM reports the calls that it lost itself. Reports are united by crash and by request, so
 * they may arrive repeatedly and in any order. The memory used is bounded. Confined to one thread.
 */
public final class CrashHistory {
  /** The number of crashes after which a request is blocked. */
  public static final int BLOCKING_CRASHES = 3;

  /** How long a crash counts. */
  public static final long EXPIRY_NANOS = Duration.ofMinutes(10).toNanos();

  /** Tolerates that the times of two VMs differ by the delay of messages between them. */
  private static final long ORDER_TOLERANCE_NANOS = Duration.ofMillis(50).toNanos();

  static final int MAX_CRASHES = 128;
  static final int MAX_LOST_PER_CRASH = 32;
  static final int MAX_CLEARED = 1_024;

  private final LongSupplier nowNanos;
  private final List<CrashListener> listeners = new ArrayList<>();
  private final Map<CrashId, Crash> crashes = new LinkedHashMap<>();
  private final Map<Digest, Long> clearedNanos = new LinkedHashMap<>();

  /**
   * Creates an empty history.
   *
   * @param nowNanos the monotonic clock
   */
  public CrashHistory(LongSupplier nowNanos) {
    this.nowNanos = nowNanos;
  }

  /** Adds a listener that is notified of each later change. */
  public void addListener(CrashListener listener) {
    listeners.add(listener);
  }

  /** Returns whether no crash is known, so that no request can be blocked. */
  public boolean isEmpty() {
    return crashes.isEmpty();
  }

  /** Returns the number of known crashes. */
  public int size() {
    return crashes.size();
  }

  /** Returns whether the crash is known. */
  public boolean contains(CrashId id) {
    return crashes.containsKey(id);
  }

  /**
   * Records a crash that this VM has observed.
   *
   * @param id the crash
   * @param crashedNanos when the connections to the target were lost
   * @param lost the requests of this VM that were lost
   */
  public void recordCrash(CrashId id, long crashedNanos, Collection<LostRequest> lost) {
    long now = nowNanos.getAsLong();
    add(id, crashedNanos, lost)
        .ifPresent(
            report -> notifyListeners(new CrashUpdate(List.of(report.at(now)), List.of()), true));
  }

  /** Records a complete response to a request, which proves that it does not crash its targets. */
  public void recordResponse(Digest fingerprint) {
    if (countedLosses(fingerprint).isEmpty()) {
      return;
    }
    long now = nowNanos.getAsLong();
    clear(fingerprint, now);
    CrashUpdate.Cleared cleared = new CrashUpdate.Cleared(fingerprint, 0);
    notifyListeners(new CrashUpdate(List.of(), List.of(cleared)), true);
  }

  /** Merges an update from another VM. */
  public void merge(CrashUpdate update) {
    long now = nowNanos.getAsLong();
    List<CrashUpdate.Cleared> newlyCleared = new ArrayList<>();
    for (CrashUpdate.Cleared cleared : update.cleared()) {
      if (isRecent(cleared.ageNanos()) && clear(cleared.fingerprint(), now - cleared.ageNanos())) {
        newlyCleared.add(cleared);
      }
    }
    List<CrashReport> newCrashes = new ArrayList<>();
    for (CrashReport report : update.crashes()) {
      if (isRecent(report.ageNanos()) && !report.lost().isEmpty()) {
        add(report.id(), now - report.ageNanos(), lostRequests(report, now))
            .ifPresent(added -> newCrashes.add(added.at(now)));
      }
    }
    notifyListeners(new CrashUpdate(newCrashes, newlyCleared), false);
  }

  /** Returns all that is known, for a VM that may have missed some of it. */
  public CrashUpdate snapshot() {
    long now = nowNanos.getAsLong();
    removeExpired(now);
    List<CrashReport> reports = new ArrayList<>();
    crashes.forEach(
        (id, crash) -> reports.add(new Addition(id, crash.crashedNanos, crash.lost()).at(now)));
    List<CrashUpdate.Cleared> cleared = new ArrayList<>();
    clearedNanos.forEach(
        (fingerprint, nanos) -> cleared.add(new CrashUpdate.Cleared(fingerprint, now - nanos)));
    return new CrashUpdate(reports, cleared);
  }

  /** Returns whether a crash may count for the request, so that it should not be repeated early. */
  public boolean isSuspected(Digest fingerprint) {
    return !countedLosses(fingerprint).isEmpty();
  }

  /** Returns for how long the request remains blocked; empty if it may be sent. */
  public Optional<Duration> blockedFor(Digest fingerprint) {
    List<Loss> losses = countedLosses(fingerprint);
    if (countSerial(losses) < BLOCKING_CRASHES) {
      return Optional.empty();
    }
    List<Loss> blamed = losses.stream().filter(loss -> isBlamed(fingerprint, loss)).toList();
    if (countSerial(blamed) < BLOCKING_CRASHES) {
      return Optional.empty();
    }
    long expiresNanos = blamed.getLast().crash.crashedNanos + EXPIRY_NANOS;
    return Optional.of(Duration.ofNanos(expiresNanos - nowNanos.getAsLong()));
  }

  private boolean isRecent(long ageNanos) {
    return ageNanos >= 0 && ageNanos < EXPIRY_NANOS;
  }

  private static List<LostRequest> lostRequests(CrashReport report, long now) {
    return report.lost().stream()
        .map(lost -> new LostRequest(lost.fingerprint(), now - lost.sentAgeNanos()))
        .toList();
  }

  private void notifyListeners(CrashUpdate update, boolean local) {
    if (!update.isEmpty()) {
      listeners.forEach(listener -> listener.learned(update, local));
    }
  }

  /**
   * Adds requests to a crash and returns those that were not known to be lost in it. Returns
   * nothing if the crash is forgotten at once, because it would go back and forth between full
   * histories.
   */
  private Optional<Addition> add(CrashId id, long crashedNanos, Collection<LostRequest> lost) {
    removeExpired(nowNanos.getAsLong());
    Crash crash = crashes.computeIfAbsent(id, newId -> new Crash(crashedNanos));
    List<LostRequest> added = lost.stream().filter(crash::add).toList();
    limitCrashes();
    return added.isEmpty() || !crashes.containsKey(id)
        ? Optional.empty()
        : Optional.of(new Addition(id, crash.crashedNanos, added));
  }

  /**
   * Records when a request was answered.
   *
   * @return false if this changes nothing, so that VMs do not repeat it to each other without end
   */
  private boolean clear(Digest fingerprint, long answeredNanos) {
    boolean known = clearedNanos.containsKey(fingerprint);
    boolean clearsLoss =
        countedLosses(fingerprint).stream()
            .anyMatch(loss -> answeredNanos - loss.crash.crashedNanos >= 0);
    if (known && !clearsLoss) {
      return false;
    }
    clearedNanos.put(fingerprint, answeredNanos);
    if (clearedNanos.size() > MAX_CLEARED) {
      removeEldest(clearedNanos);
    }
    return true;
  }

  private static <K> void removeEldest(Map<K, ?> map) {
    Iterator<K> keys = map.keySet().iterator();
    keys.next();
    keys.remove();
  }

  private void removeExpired(long now) {
    crashes.values().removeIf(crash -> now - crash.crashedNanos >= EXPIRY_NANOS);
    clearedNanos.values().removeIf(nanos -> now - nanos >= EXPIRY_NANOS);
  }

  /** Forgets the least informative crash: the oldest one whose requests were lost only once. */
  private void limitCrashes() {
    if (crashes.size() <= MAX_CRASHES) {
      return;
    }
    CrashId leastInformative =
        crashes.entrySet().stream()
            .min(
                Comparator.comparingInt(
                        (Map.Entry<CrashId, Crash> entry) -> maxSerialCount(entry.getValue()))
                    .thenComparingLong(entry -> entry.getValue().crashedNanos))
            .orElseThrow()
            .getKey();
    crashes.remove(leastInformative);
  }

  private int maxSerialCount(Crash crash) {
    return crash.sentNanos.keySet().stream().mapToInt(this::serialCount).max().orElse(0);
  }

  private int serialCount(Digest fingerprint) {
    return countSerial(countedLosses(fingerprint));
  }

  /** Returns the losses of a request since its last response, in the order of the crashes. */
  private List<Loss> countedLosses(Digest fingerprint) {
    long now = nowNanos.getAsLong();
    Long answeredNanos = clearedNanos.get(fingerprint);
    List<Loss> losses = new ArrayList<>();
    for (Crash crash : crashes.values()) {
      Long sentNanos = crash.sentNanos.get(fingerprint);
      boolean answeredSince = answeredNanos != null && answeredNanos - crash.crashedNanos >= 0;
      boolean expired = now - crash.crashedNanos >= EXPIRY_NANOS;
      if (sentNanos != null && !answeredSince && !expired) {
        losses.add(new Loss(crash, sentNanos));
      }
    }
    losses.sort(Comparator.comparingLong(loss -> loss.crash.crashedNanos));
    return losses;
  }

  /** Returns the number of losses, each of which was sent after the one before had ended. */
  private static int countSerial(List<Loss> losses) {
    int count = 0;
    long lastCrashNanos = 0;
    for (Loss loss : losses) {
      if (count == 0 || loss.sentNanos - lastCrashNanos >= -ORDER_TOLERANCE_NANOS) {
        count++;
        lastCrashNanos = loss.crash.crashedNanos;
      }
    }
    return count;
  }

  /** Returns whether no other request that was lost in the crash was lost in more crashes. */
  private boolean isBlamed(Digest fingerprint, Loss loss) {
    int own = serialCount(fingerprint);
    return loss.crash.sentNanos.keySet().stream().allMatch(other -> serialCount(other) <= own);
  }

  /** Requests that were added to a crash. */
  private record Addition(CrashId id, long crashedNanos, List<LostRequest> lost) {
    private CrashReport at(long now) {
      List<CrashReport.Lost> reported =
          lost.stream()
              .map(entry -> new CrashReport.Lost(entry.fingerprint(), now - entry.sentNanos()))
              .toList();
      return new CrashReport(id, now - crashedNanos, reported);
    }
  }

  /** The loss of a request in a crash. */
  private record Loss(Crash crash, long sentNanos) {}

  /** A crash, with the time at which each lost request was sent. */
  private static final class Crash {
    private final long crashedNanos;
    private final Map<Digest, Long> sentNanos = new HashMap<>();

    private Crash(long crashedNanos) {
      this.crashedNanos = crashedNanos;
    }

    private boolean add(LostRequest request) {
      return sentNanos.size() < MAX_LOST_PER_CRASH
          && sentNanos.putIfAbsent(request.fingerprint(), request.sentNanos()) == null;
    }

    private List<LostRequest> lost() {
      return sentNanos.entrySet().stream()
          .map(entry -> new LostRequest(entry.getKey(), entry.getValue()))
          .toList();
    }
  }
}
