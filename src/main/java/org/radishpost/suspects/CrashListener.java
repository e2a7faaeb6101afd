package org.radishpost.suspects;

/** Receives everything that a {@link CrashHistory} learns. Implementations must not block. */
@FunctionalInterface
public interface CrashListener {
  /**
   * Called after the history has changed.
   *
   * @param news what the history did not contain before
   * @param local whether this VM observed it itself, as opposed to being told by another VM
   */
  void learned(CrashNews news, boolean local);
}
