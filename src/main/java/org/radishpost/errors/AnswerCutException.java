package org.radishpost.errors;

/** The other end's answer has no end that can be told from a cut. */
public class AnswerCutException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates one with a message that names the remedy. */
  public AnswerCutException(String message) {
    super(message);
  }

  /** Creates one with a message that names the remedy, and its cause. */
  public AnswerCutException(String message, Throwable cause) {
    super(message, cause);
  }
}
