package org.radishpost.claims;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The holder of each key, computed from the records of one stream in log order.
 *
 * <p>An entry is valid only if the time in its key is at most {@link
 * ClaimLimits#MAX_CLOCK_SKEW_MILLIS} ahead of the time of its record. The index may lack records up
 * to a certain time, because they expired, were lost, could not be decoded or were evicted to save
 * memory. Valid entries of such records belong to keys whose time is at most that time plus the
 * clock skew. These keys are too old and are never granted. For all other keys, the index has every
 * entry, and all VMs compute the same result.
 *
 * <p>Not thread-safe.
 */
final class ClaimIndex {
  /** Estimated memory for one key without its outcome and excluded attempts. */
  static final int KEY_BYTES = 144;

  private static final int EXCLUDED_ATTEMPT_BYTES = 40;
  private static final int OUTCOME_BYTES = 96;
  private static final long BUCKET_MILLIS = 1_000;

  private final long maxBytes;
  private final Map<ShortDigest, KeyState> statesByKey = new HashMap<>();
  private final TreeMap<Long, List<ShortDigest>> keysByTime = new TreeMap<>();

  /** Records up to this log time may be missing from the index. */
  private long incompleteUntilMillis = Long.MIN_VALUE / 2;

  private long estimatedBytes;

  ClaimIndex(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Returns the number of keys in the index. */
  int keyCount() {
    return statesByKey.size();
  }

  /** Returns the estimated memory that the index takes, in bytes. */
  long estimatedBytes() {
    return estimatedBytes;
  }

  /**
   * Marks the index as incomplete for records up to the given log time, and removes the keys that
   * are too old as a result.
   */
  void markIncompleteUntil(long logMillis) {
    if (logMillis <= incompleteUntilMillis) {
      return;
    }
    incompleteUntilMillis = logMillis;
    long lastTooOldMillis = incompleteUntilMillis + ClaimLimits.MAX_CLOCK_SKEW_MILLIS;
    while (!keysByTime.isEmpty() && bucketEndMillis(keysByTime.firstKey()) <= lastTooOldMillis) {
      keysByTime.pollFirstEntry().getValue().forEach(this::remove);
    }
  }

  /** Returns whether entries of a key with this time may be missing from the index. */
  boolean isTooOld(long keyMillis) {
    return keyMillis <= incompleteUntilMillis + ClaimLimits.MAX_CLOCK_SKEW_MILLIS;
  }

  /**
   * Applies one entry of a record.
   *
   * @param recordMillis the log time of the record
   * @param entry the entry
   * @return the result for the attempt of the entry
   */
  ClaimResult apply(long recordMillis, ClaimEntry entry) {
    if (entry.keyMillis() > recordMillis + ClaimLimits.MAX_CLOCK_SKEW_MILLIS) {
      return new ClaimResult.KeyMisused();
    }
    if (isTooOld(entry.keyMillis())) {
      return new ClaimResult.KeyTooOld();
    }
    KeyState state = stateFor(entry);
    long bytesBefore = state.estimatedBytes();
    ClaimResult result = updateState(state, entry);
    estimatedBytes += state.estimatedBytes() - bytesBefore;
    evictOldestKeys();
    return result;
  }

  /**
   * Returns the result of a claim according to the entries applied so far. This is {@link
   * ClaimResult.Granted} if the attempt holds the key or no attempt holds it.
   */
  ClaimResult currentResult(ClaimEntry.Claim claim) {
    if (isTooOld(claim.keyMillis())) {
      return new ClaimResult.KeyTooOld();
    }
    KeyState state = statesByKey.get(claim.key());
    return state == null ? new ClaimResult.Granted() : state.currentResult(claim);
  }

  /** Returns whether the attempt holds the key according to the entries applied so far. */
  boolean holdsKey(ClaimEntry.Claim claim) {
    KeyState state = statesByKey.get(claim.key());
    return state != null && !isTooOld(claim.keyMillis()) && state.isHeldBy(claim.attempt());
  }

  private ClaimResult updateState(KeyState state, ClaimEntry entry) {
    return switch (entry) {
      case ClaimEntry.Claim claim -> state.claim(claim);
      case ClaimEntry.Withdrawal withdrawal -> {
        state.withdraw(withdrawal.attempt());
        yield new ClaimResult.Unavailable();
      }
      case ClaimEntry.Completion completion -> {
        state.complete(completion);
        yield new ClaimResult.Completed(completion.outcome());
      }
    };
  }

  private KeyState stateFor(ClaimEntry entry) {
    KeyState existing = statesByKey.get(entry.key());
    if (existing != null) {
      return existing;
    }
    KeyState added = new KeyState();
    statesByKey.put(entry.key(), added);
    estimatedBytes += KEY_BYTES;
    long bucket = Math.floorDiv(entry.keyMillis(), BUCKET_MILLIS);
    keysByTime.computeIfAbsent(bucket, unused -> new ArrayList<>(1)).add(entry.key());
    return added;
  }

  private void evictOldestKeys() {
    while (estimatedBytes > maxBytes) {
      markIncompleteUntil(
          bucketEndMillis(keysByTime.firstKey()) - ClaimLimits.MAX_CLOCK_SKEW_MILLIS);
    }
  }

  private void remove(ShortDigest key) {
    estimatedBytes -= KEY_BYTES + statesByKey.remove(key).estimatedBytes();
  }

  private static long bucketEndMillis(long bucket) {
    return (bucket + 1) * BUCKET_MILLIS - 1;
  }

  /** The holder, outcome and excluded attempts of one key. */
  private static final class KeyState {
    private ShortDigest holder;
    private long requestDigestPrefix;
    private ClaimOutcome outcome;

    /** Attempts that are never granted the key, oldest first. */
    private List<ShortDigest> excludedAttempts = List.of();

    private ClaimResult claim(ClaimEntry.Claim claim) {
      ClaimResult result = currentResult(claim);
      if (holder != null) {
        exclude(claim.attempt());
        return result;
      }
      if (result instanceof ClaimResult.Granted) {
        holder = claim.attempt();
        requestDigestPrefix = claim.requestDigestPrefix();
      }
      return result;
    }

    private ClaimResult currentResult(ClaimEntry.Claim claim) {
      boolean heldByOther = holder != null && !holder.equals(claim.attempt());
      if (excludedAttempts.contains(claim.attempt()) && !heldByOther) {
        return new ClaimResult.Unavailable();
      }
      if (holder == null || isHeldBy(claim.attempt())) {
        return new ClaimResult.Granted();
      }
      if (requestDigestPrefix != 0
          && claim.requestDigestPrefix() != 0
          && requestDigestPrefix != claim.requestDigestPrefix()) {
        return new ClaimResult.KeyMisused();
      }
      return outcome == null ? new ClaimResult.Held() : new ClaimResult.Completed(outcome);
    }

    private boolean isHeldBy(ShortDigest attempt) {
      return outcome == null && attempt.equals(holder);
    }

    private void withdraw(ShortDigest attempt) {
      if (isHeldBy(attempt)) {
        holder = null;
        requestDigestPrefix = 0;
      }
      exclude(attempt);
    }

    private void complete(ClaimEntry.Completion completion) {
      if (isHeldBy(completion.attempt())) {
        outcome = completion.outcome();
      }
    }

    private void exclude(ShortDigest attempt) {
      if (attempt.equals(holder) || excludedAttempts.contains(attempt)) {
        return;
      }
      List<ShortDigest> extended = new ArrayList<>(excludedAttempts);
      extended.add(attempt);
      int firstKept = Math.max(0, extended.size() - ClaimLimits.MAX_EXCLUDED_ATTEMPTS);
      excludedAttempts = List.copyOf(extended.subList(firstKept, extended.size()));
    }

    private long estimatedBytes() {
      long outcomeBytes = outcome == null ? 0 : OUTCOME_BYTES + outcome.body().length;
      return outcomeBytes + (long) excludedAttempts.size() * EXCLUDED_ATTEMPT_BYTES;
    }
  }
}
