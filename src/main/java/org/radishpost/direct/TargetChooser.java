package org.radishpost.direct;

import org.radishpost.lib.ServiceName;
import reactor.core.publisher.Mono;

/** Chooses the targets of calls. */
interface TargetChooser {
  /** Records a call to the service before its first target is chosen. */
  void recordCall(ServiceName service);

  /** Chooses the target of an attempt; may wait until a target has a free slot. */
  Mono<TargetChoice> choose(CallAttempts attempts);

  /**
   * Chooses a second target for a call that is already running, without waiting, and only if its
   * response is expected in time.
   */
  Mono<TargetChoice> chooseForHedge(CallAttempts attempts);
}
