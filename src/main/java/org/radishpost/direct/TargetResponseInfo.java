package org.radishpost.direct;

import java.time.Duration;
import java.util.Optional;
import org.radishpost.placement.LoadSample;
import org.radishpost.placement.TargetId;

/**
 * What an answer of a target says beside its body.
 *
 * @param notRun whether it says that the target did not run the request
 * @param authenticated whether it bears the proof that a target's application made it
 * @param responder the target that names itself in it
 * @param load the load that it reports
 * @param coldRemaining how much longer the target stays cold
 */
public record TargetResponseInfo(
    boolean notRun,
    boolean authenticated,
    Optional<TargetId> responder,
    Optional<LoadSample> load,
    Optional<Duration> coldRemaining) {}
