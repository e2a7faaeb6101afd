package org.radishpost.errors;

/** No answer came before the call's time was over. */
public class AnswerTimeoutException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates one with a message that names the remedy. */
  public AnswerTimeoutException(String message) {
    super(message);
  }

  /** Creates one with a message that names the remedy, and its cause. */
  public AnswerTimeoutException(String message, Throwable cause) {
    super(message, cause);
  }
}
