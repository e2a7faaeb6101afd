package org.radishpost.http;

import org.radishpost.errors.AnswerTimeoutException;
import org.radishpost.errors.ConnectionDiedException;
import org.radishpost.errors.RadishpostException;
import org.radishpost.pool.HandBackReason;

/** How the owner of a pool tells an entry VM that a call ended; the form of one header field. */
sealed interface HopResult {
  /** The words of the field. */
  String ANSWERED = "answered";

  /** Stands before the reason why a call was handed back. */
  String HANDED_BACK = "handed-back ";

  /** Says that a target shed the call. */
  String SHED = "shed";

  /** Says that the time was over. */
  String TIMED_OUT = "lost timeout";

  /** Says that the connection to the target died. */
  String DIED = "lost died";

  /** The answer is for the caller. */
  record Answered() implements HopResult {}

  /**
   * The call was not run.
   *
   * @param reason why
   */
  record HandedBack(HandBackReason reason) implements HopResult {}

  /** A target said that it did not run the call. */
  record Shed() implements HopResult {}

  /**
   * The call may have run.
   *
   * @param cause what happened
   */
  record Lost(RadishpostException cause) implements HopResult {}

  /** The answer does not come from an owner that accepted the proof. */
  record NotProved() implements HopResult {}

  /** Returns the text for a result. */
  static String format(CallResult result) {
    return switch (result) {
      case CallResult.Answered answered -> ANSWERED;
      case CallResult.HandedBack back -> HANDED_BACK + back.reason().name();
      case CallResult.Shed shed -> SHED;
      case CallResult.Unreachable unreachable -> HANDED_BACK + HandBackReason.NOT_OWNER.name();
      case CallResult.Lost lost ->
          lost.cause() instanceof AnswerTimeoutException ? TIMED_OUT : DIED;
    };
  }

  /** Reads a text. */
  static HopResult parse(String text) {
    if (text == null) {
      return new NotProved();
    }
    if (text.equals(ANSWERED)) {
      return new Answered();
    }
    if (text.equals(SHED)) {
      return new Shed();
    }
    if (text.startsWith(HANDED_BACK)) {
      return new HandedBack(HandBackReason.valueOf(text.substring(HANDED_BACK.length())));
    }
    if (text.equals(TIMED_OUT)) {
      return new Lost(
          new AnswerTimeoutException("No answer from the target in time: look at its load."));
    }
    return new Lost(
        new ConnectionDiedException("The connection to the target died: look at its log."));
  }
}
