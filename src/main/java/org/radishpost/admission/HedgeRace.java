package org.radishpost.admission;

import java.util.Optional;
import org.radishpost.lib.CallId;
import org.radishpost.pool.TargetOutcome;

/** Decides which of the two attempts of a hedged call is used. Not thread-safe. */
public final class HedgeRace {
  private static final int MIN_SERVER_ERROR_STATUS = 500;

  private final CallId first;
  private final CallId second;
  private boolean won;
  private boolean oneFailed;

  /** Creates a race between two attempts. */
  public HedgeRace(CallId first, CallId second) {
    this.first = first;
    this.second = second;
  }

  /** The decision after an attempt has ended. */
  public sealed interface Decision {
    /**
     * The attempt won: forward its response.
     *
     * @param loser the attempt to cancel, or empty if it has already ended
     */
    record Won(Optional<CallId> loser) implements Decision {}

    /** Ignore the outcome: the other attempt is still in flight or has already won. */
    record Ignore() implements Decision {}

    /** Both attempts have failed: use the outcome of this one. */
    record BothFailed() implements Decision {}
  }

  /** Records the outcome of an attempt and returns the decision. */
  public Decision attemptEnded(CallId call, TargetOutcome outcome) {
    if (won) {
      return new Decision.Ignore();
    }
    if (outcome instanceof TargetOutcome.Responded response
        && response.status() < MIN_SERVER_ERROR_STATUS) {
      won = true;
      CallId other = call.equals(first) ? second : first;
      return new Decision.Won(oneFailed ? Optional.empty() : Optional.of(other));
    }
    if (!oneFailed) {
      oneFailed = true;
      return new Decision.Ignore();
    }
    return new Decision.BothFailed();
  }
}
