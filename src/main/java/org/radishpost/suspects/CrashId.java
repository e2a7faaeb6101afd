package org.radishpost.suspects;

import org.radishpost.placement.Target;
import org.radishpost.placement.TargetId;

/**
 * Identifies a crash by the run of the target that it ended, so that all VMs name it alike.
 *
 * @param target the ID of the target
 * @param startedMillis when that run of the target started, in milliseconds since 1970; 0 if
 *     unknown
 */
public record CrashId(TargetId target, long startedMillis) {
  /** Returns the crash that ends the current run of a target. */
  public static CrashId of(Target target) {
    return new CrashId(target.id(), target.startedMillis());
  }
}
