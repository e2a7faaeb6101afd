package org.radishpost.direct;

import java.time.Duration;
import java.util.Optional;
import org.radishpost.placement.LoadSample;
import org.radishpost.placement.TargetId;

/**
 * Information from the header section of a target's response.
 *
 * @param notRun whether the response states that the target did not run the request
 * @param authenticated whether the response carries the MAC of a target's application
 * @param responder the ID of the target that sent the response
 * @param load the reported load; with the response to a call that ran, this call is included
 * @param coldRemaining how long the target will remain cold
 */
public record TargetResponseInfo(
    boolean notRun,
    boolean authenticated,
    Optional<TargetId> responder,
    Optional<LoadSample> load,
    Optional<Duration> coldRemaining) {
  /** Returns the load without the call that this is the response to. */
  Optional<LoadSample> currentLoad() {
    return notRun ? load : load.map(LoadSample::afterOneCall);
  }
}
