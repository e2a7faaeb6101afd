package org.radishpost.errors;

/** A body was dropped because the bodies in memory exceeded their budget. */
public final class MemoryBudgetException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception with a message that says what to do. */
  public MemoryBudgetException(String message) {
    super(message);
  }
}
