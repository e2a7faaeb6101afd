package org.radishpost.placement;

import java.util.Optional;

/**
 * What becomes of an entry in a target registry that was restored from an earlier copy, depending
 * on what this VM knows of its target.
 *
 * <p>A run of a target changes in one direction only: it is ready, then draining, then gone. An
 * entry that would take it back is an old one.
 */
enum RestoredEntryUse {
  /** The entry replaces what is known. */
  APPLY,
  /** The entry is older than what is known, which stays in use: both are of the same run. */
  KEEP_KNOWN,
  /** The entry would take back what is known; the newer entry counts as missing. */
  IGNORE,
  /** The target has left since; it is used only if it proves that it still runs. */
  HOLD_BACK;

  /**
   * Decides on an entry.
   *
   * @param entry the entry
   * @param known the entry that this VM uses for the same target, if any
   * @param departed the last entry of the same target if it has left recently
   */
  static RestoredEntryUse of(Target entry, Optional<Target> known, Optional<Target> departed) {
    if (known.isPresent()) {
      return ofKnown(entry, known.get());
    }
    boolean mayHaveLeft =
        departed.filter(last -> entry.version().compareTo(last.version()) <= 0).isPresent();
    return mayHaveLeft ? HOLD_BACK : APPLY;
  }

  private static RestoredEntryUse ofKnown(Target entry, Target known) {
    if (!entry.isOlderThan(known)) {
      return APPLY;
    }
    boolean sameRun = entry.startedMillis() == known.startedMillis();
    boolean undoesDraining = known.draining() && !entry.draining();
    return sameRun && !undoesDraining ? KEEP_KNOWN : IGNORE;
  }
}
