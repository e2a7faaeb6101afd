package org.radishpost.admission;

import java.util.Optional;
import org.radishpost.lib.CallId;
import org.radishpost.pool.TargetOutcome;

/** The race between the two sends of a hedged call; one thread at a time. */
public final class HedgeRace {
  private static final int SERVER_ERROR = 500;

  private final CallId first;
  private final CallId second;
  private boolean won;
  private boolean oneLost;

  /** Creates the race between two sends. */
  public HedgeRace(CallId first, CallId second) {
    this.first = first;
    this.second = second;
  }

  /** What follows when a send has ended. */
  public sealed interface Step {
    /**
     * The send won: pass its answer on.
     *
     * @param loser the send to cancel, empty when it has ended
     */
    record Won(Optional<CallId> loser) implements Step {}

    /** The other send decides, or has decided. */
    record Ignore() implements Step {}

    /** Both sends have failed: decide by this last outcome. */
    record Lost() implements Step {}
  }

  /** Takes the end of a send. */
  public Step ended(CallId call, TargetOutcome outcome) {
    if (won) {
      return new Step.Ignore();
    }
    if (outcome instanceof TargetOutcome.Answered answer && answer.status() < SERVER_ERROR) {
      won = true;
      CallId other = call.equals(first) ? second : first;
      return new Step.Won(oneLost ? Optional.empty() : Optional.of(other));
    }
    if (!oneLost) {
      oneLost = true;
      return new Step.Ignore();
    }
    return new Step.Lost();
  }
}
