package org.radishpost.direct;

import java.util.List;
import java.util.function.Supplier;
import org.radishpost.config.Configuration;
import org.radishpost.placement.TargetDirectory;
import org.radishpost.placement.TrackedTarget;

/**
 * Finds the targets that a call may be sent to. Confined to one thread.
 *
 * @param directory the registered targets
 * @param configuration supplies the current configuration
 */
record CallCandidates(TargetDirectory directory, Supplier<Configuration> configuration) {
  /** Returns the targets in service and in allowed regions to which the call was not sent yet. */
  List<TrackedTarget> of(CallAttempts attempts) {
    List<TrackedTarget> found = directory.serving(attempts.service(), attempts.tried());
    Configuration current = configuration.get();
    found.removeIf(
        tracked ->
            !attempts.call().info().allowsRegion(tracked.target().place().region())
                || !current.inService(tracked.target().place()));
    return found;
  }
}
