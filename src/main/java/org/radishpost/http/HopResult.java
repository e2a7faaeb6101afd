package org.radishpost.http;

import org.radishpost.errors.ConnectionLostException;
import org.radishpost.errors.RadishpostException;
import org.radishpost.errors.ResponseTimeoutException;
import org.radishpost.pool.HandBackReason;

/** How the owner of a pool tells an entry VM that a call ended; the form of one header field. */
sealed interface HopResult {
  /** The words of the field. */
  String RESPONDED = "answered";

  /** Stands before the reason why a call was handed back. */
  String HANDED_BACK_PREFIX = "handed-back ";

  /** Says that a target shed the call. */
  String SHED = "shed";

  /** Says that the time was over. */
  String TIMED_OUT = "lost timeout";

  /** Says that the connection to the target died. */
  String CONNECTION_LOST = "lost died";

  /** Explains an answer without the field. */
  String NO_RESULT_DETAIL = "The other VM broke off: look at its log.";

  /** Says that the proof was refused. */
  String NOT_AUTHENTICATED = "not-proved";

  /** The answer is for the caller. */
  record Responded() implements HopResult {}

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

  /** The other VM refused the proof and did not run the call. */
  record NotAuthenticated() implements HopResult {}

  /** Returns the text for a result. */
  static String format(CallResult result) {
    return switch (result) {
      case CallResult.Responded responded -> RESPONDED;
      case CallResult.HandedBack handedBack -> HANDED_BACK_PREFIX + handedBack.reason().name();
      case CallResult.Shed shed -> SHED;
      case CallResult.Unreachable unreachable ->
          HANDED_BACK_PREFIX + HandBackReason.NOT_OWNER.name();
      case CallResult.Lost lost ->
          lost.cause() instanceof ResponseTimeoutException ? TIMED_OUT : CONNECTION_LOST;
    };
  }

  /** Reads a text; anything unknown means that the call may have run. */
  static HopResult parse(String text) {
    return switch (text) {
      case null -> new Lost(new ConnectionLostException(NO_RESULT_DETAIL));
      case RESPONDED -> new Responded();
      case SHED -> new Shed();
      case NOT_AUTHENTICATED -> new NotAuthenticated();
      case TIMED_OUT ->
          new Lost(
              new ResponseTimeoutException("No answer from the target in time: look at its load."));
      default -> parseHandedBackOrLost(text);
    };
  }

  private static HopResult parseHandedBackOrLost(String text) {
    for (HandBackReason reason : HandBackReason.values()) {
      if (text.equals(HANDED_BACK_PREFIX + reason.name())) {
        return new HandedBack(reason);
      }
    }
    return new Lost(
        new ConnectionLostException("The connection to the target died: look at its log."));
  }
}
