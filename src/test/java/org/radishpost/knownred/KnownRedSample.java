package org.radishpost.knownred;

import org.testng.annotations.Test;

/** The tests of the inner run; not run by themselves. */
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

  /** Is no test. */
  public void helper() {}
}
