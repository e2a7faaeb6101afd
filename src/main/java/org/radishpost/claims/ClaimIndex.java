package org.radishpost.claims;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Who holds which key, by the records of one stream in the order of the log.
 *
 * <p>An entry counts only when the key's time is at most {@link ClaimLimits#MAX_SKEW_MILLIS} ahead
 * of the record's. So an entry that the index has missed can only be of a key with a time up to the
 * horizon and that skew; such keys are never granted. For all others the index knows every entry,
 * and its verdict is that of every other complete index.
 *
 * <p>Not thread-safe.
 */
final class ClaimIndex {
  /** The memory that one key takes, by estimate. */
  static final int KEY_BYTES = 144;

  private static final int DEAD_BYTES = 40;
  private static final int OUTCOME_BYTES = 96;
  private static final long BUCKET_MILLIS = 1_000;

  private final long maxBytes;
  private final Map<ShortDigest, Holding> holdings = new HashMap<>();
  private final TreeMap<Long, List<ShortDigest>> keysByTime = new TreeMap<>();
  private long horizonMillis = Long.MIN_VALUE / 2;
  private long bytes;

  ClaimIndex(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Returns the number of keys. */
  int size() {
    return holdings.size();
  }

  /** Returns the memory taken, by estimate. */
  long bytes() {
    return bytes;
  }

  /** Notes that records up to this time may be unknown, and forgets the keys that it affects. */
  void missed(long timeMillis) {
    if (timeMillis <= horizonMillis) {
      return;
    }
    horizonMillis = timeMillis;
    long lastTooOld = horizonMillis + ClaimLimits.MAX_SKEW_MILLIS;
    while (!keysByTime.isEmpty() && bucketEnd(keysByTime.firstKey()) <= lastTooOld) {
      keysByTime.pollFirstEntry().getValue().forEach(this::forget);
    }
  }

  /** Tells whether entries of a key with this time may be unknown. */
  boolean tooOld(long keyMillis) {
    return keyMillis <= horizonMillis + ClaimLimits.MAX_SKEW_MILLIS;
  }

  /** Takes one entry of a record and tells what the log's order makes of its attempt. */
  ClaimAnswer apply(long recordMillis, ClaimEntry entry) {
    if (entry.keyMillis() > recordMillis + ClaimLimits.MAX_SKEW_MILLIS) {
      return new ClaimAnswer.KeyMisused();
    }
    if (tooOld(entry.keyMillis())) {
      return new ClaimAnswer.KeyTooOld();
    }
    Holding holding = holding(entry);
    long before = holding.bytes();
    ClaimAnswer answer = decide(holding, entry);
    bytes += holding.bytes() - before;
    trim();
    return answer;
  }

  /** Tells what is known of a claim's attempt without a new record; a free key reads as granted. */
  ClaimAnswer look(ClaimEntry.Claim claim) {
    if (tooOld(claim.keyMillis())) {
      return new ClaimAnswer.KeyTooOld();
    }
    Holding holding = holdings.get(claim.key());
    return holding == null ? new ClaimAnswer.Granted() : holding.look(claim);
  }

  /** Tells whether the attempt is known to hold its key. */
  boolean holds(ClaimEntry.Claim claim) {
    Holding holding = holdings.get(claim.key());
    return holding != null && !tooOld(claim.keyMillis()) && holding.heldBy(claim.attempt());
  }

  private ClaimAnswer decide(Holding holding, ClaimEntry entry) {
    return switch (entry) {
      case ClaimEntry.Claim claim -> holding.claim(claim);
      case ClaimEntry.Withdrawal withdrawal -> {
        holding.withdraw(withdrawal.attempt());
        yield new ClaimAnswer.Unavailable();
      }
      case ClaimEntry.Settlement settlement -> {
        holding.settle(settlement);
        yield new ClaimAnswer.Settled(settlement.outcome());
      }
    };
  }

  private Holding holding(ClaimEntry entry) {
    Holding known = holdings.get(entry.key());
    if (known != null) {
      return known;
    }
    Holding added = new Holding();
    holdings.put(entry.key(), added);
    bytes += KEY_BYTES;
    long bucket = Math.floorDiv(entry.keyMillis(), BUCKET_MILLIS);
    keysByTime.computeIfAbsent(bucket, unused -> new ArrayList<>(1)).add(entry.key());
    return added;
  }

  private void trim() {
    while (bytes > maxBytes) {
      missed(bucketEnd(keysByTime.firstKey()) - ClaimLimits.MAX_SKEW_MILLIS);
    }
  }

  private void forget(ShortDigest key) {
    bytes -= KEY_BYTES + holdings.remove(key).bytes();
  }

  private static long bucketEnd(long bucket) {
    return (bucket + 1) * BUCKET_MILLIS - 1;
  }

  /** What is known of one key. */
  private static final class Holding {
    private ShortDigest holder;
    private long check;
    private ClaimOutcome outcome;
    private List<ShortDigest> dead = List.of();

    private ClaimAnswer claim(ClaimEntry.Claim claim) {
      ClaimAnswer answer = look(claim);
      if (holder != null) {
        bury(claim.attempt());
        return answer;
      }
      if (answer instanceof ClaimAnswer.Granted) {
        holder = claim.attempt();
        check = claim.check();
      }
      return answer;
    }

    private ClaimAnswer look(ClaimEntry.Claim claim) {
      boolean another = holder != null && !holder.equals(claim.attempt());
      if (dead.contains(claim.attempt()) && !another) {
        return new ClaimAnswer.Unavailable();
      }
      if (holder == null || heldBy(claim.attempt())) {
        return new ClaimAnswer.Granted();
      }
      if (check != 0 && claim.check() != 0 && check != claim.check()) {
        return new ClaimAnswer.KeyMisused();
      }
      return outcome == null ? new ClaimAnswer.Held() : new ClaimAnswer.Settled(outcome);
    }

    private boolean heldBy(ShortDigest attempt) {
      return outcome == null && attempt.equals(holder);
    }

    private void withdraw(ShortDigest attempt) {
      if (heldBy(attempt)) {
        holder = null;
        check = 0;
      }
      bury(attempt);
    }

    private void settle(ClaimEntry.Settlement settlement) {
      if (heldBy(settlement.attempt())) {
        outcome = settlement.outcome();
      }
    }

    private void bury(ShortDigest attempt) {
      if (attempt.equals(holder) || dead.contains(attempt)) {
        return;
      }
      List<ShortDigest> longer = new ArrayList<>(dead);
      longer.add(attempt);
      int first = Math.max(0, longer.size() - ClaimLimits.MAX_DEAD_ATTEMPTS);
      dead = List.copyOf(longer.subList(first, longer.size()));
    }

    private long bytes() {
      long kept = outcome == null ? 0 : OUTCOME_BYTES + outcome.body().length;
      return kept + (long) dead.size() * DEAD_BYTES;
    }
  }
}
