package org.radishpost.admission;

import java.util.Optional;
import org.radishpost.lib.CallId;
import org.radishpost.pool.TargetOutcome;

/** The race between the two sends of a hedged call; one thread at a time. */
public final class HedgeRace {
  private static final int MIN_SERVER_ERROR_STATUS = 500;

  private final CallId first;
  private final CallId second;
  private boolean won;
  private boolean oneFailed;

  /** Creates the race between two sends. */
  public HedgeRace(CallId first, CallId second) {
    this.first = first;
    this.second = second;
  }

  /** What follows when a send has ended. */
  public sealed interface Decision {
    /**
     * The send won: pass its answer on.
     *
     * @param loser the send to cancel, empty when it has ended
     */
    record Won(Optional<CallId> loser) implements Decision {}

    /** The other send decides, or has decided. */
    record Ignore() implements Decision {}

    /** Both sends have failed: decide by this last outcome. */
    record BothFailed() implements Decision {}
  }

  /** Takes the end of a send. */
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
