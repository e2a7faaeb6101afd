package org.radishpost.suspects;

import java.util.List;
import org.radishpost.lib.Digest;

/**
 * What one VM sends to others about crashes. Merging the same update twice has no further effect.
 *
 * @param crashes the crashes
 * @param cleared the requests that have been answered since they were last lost in a crash
 */
public record CrashUpdate(List<CrashReport> crashes, List<Cleared> cleared) {
  /** Creates an update with immutable copies of the lists. */
  public CrashUpdate {
    crashes = List.copyOf(crashes);
    cleared = List.copyOf(cleared);
  }

  /** Returns whether the update is empty. */
  public boolean isEmpty() {
    return crashes.isEmpty() && cleared.isEmpty();
  }

  /**
   * A request that was answered, so that earlier crashes no longer count for it.
   *
   * @param fingerprint the digest that identifies repetitions of the request
   * @param ageNanos the time since the response
   */
  public record Cleared(Digest fingerprint, long ageNanos) {}
}
