package org.radishpost.knownred;

import org.testng.annotations.Test;

/**
 * The tests that {@link KnownRedListenerTest} runs in a nested TestNG run. Surefire does not run
 * this class directly.
 */
public final class KnownRedSample {
  /** Fails and is listed. */
  @Test
  public void fails() {
    throw new AssertionError("as expected");
  }

  /** Passes and is listed. */
  @Test
  public void passes() {}

  /** Fails and is not listed. */
  @Test
  public void failsUnlisted() {
    throw new AssertionError("as expected");
  }

  /** A method that is not a test. */
  public void helper() {}
}
