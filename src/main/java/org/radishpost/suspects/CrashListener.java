package org.radishpost.suspects;

/** Receives everything that a {@link CrashHistory} learns. Implementations must not block. */
@FunctionalInterface
public interface CrashListener {
  /**
   * Called after the history has changed.
   *
   * @param update what the history did not contain before
   * @param local whether this VM observed it itself, as opposed to learning it from another VM
   */
  void learned(CrashUpdate update, boolean local);
}
