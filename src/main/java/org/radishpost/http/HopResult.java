package org.radishpost.http;

import org.radishpost.errors.ConnectionLostException;
import org.radishpost.errors.RadishpostException;
import org.radishpost.errors.ResponseTimeoutException;
import org.radishpost.pool.HandBackReason;

/** The result of a call as the owner of a pool reports it to an entry VM, in one header field. */
sealed interface HopResult {
  /** The field value for a call that ended with a response. */
  String RESPONDED = "answered";

  /** The field value for a call that was handed back, followed by the reason. */
  String HANDED_BACK_PREFIX = "handed-back ";

  /** The field value for a call that a target shed. */
  String SHED = "shed";

  /** The field value for a call whose target did not respond in time. */
  String TIMED_OUT = "lost timeout";

  /** The field value for a call whose connection to the target was lost. */
  String CONNECTION_LOST = "lost died";

  /** The message for a response without the field. */
  String NO_RESULT_DETAIL = "The response of the other VM has no result. Check the log of that VM.";

  /** The field value for a call with an invalid MAC. */
  String NOT_AUTHENTICATED = "not-proved";

  /** The response is for the caller. */
  record Responded() implements HopResult {}

  /**
   * The call was not run.
   *
   * @param reason why the owner handed it back
   */
  record HandedBack(HandBackReason reason) implements HopResult {}

  /** A target reported that it did not run the call. */
  record Shed() implements HopResult {}

  /**
   * The call may have run.
   *
   * @param cause the failure
   */
  record Lost(RadishpostException cause) implements HopResult {}

  /** The other VM rejected the MAC and did not run the call. */
  record NotAuthenticated() implements HopResult {}

  /** Returns the field value for a result. */
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

  /** Parses a field value. An unknown value means that the call may have run. */
  static HopResult parse(String text) {
    return switch (text) {
      case null -> new Lost(new ConnectionLostException(NO_RESULT_DETAIL));
      case RESPONDED -> new Responded();
      case SHED -> new Shed();
      case NOT_AUTHENTICATED -> new NotAuthenticated();
      case TIMED_OUT ->
          new Lost(
              new ResponseTimeoutException("The target did not respond in time. Check its load."));
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
        new ConnectionLostException(
            "The connection to the target was lost. Check the log of the target."));
  }
}
