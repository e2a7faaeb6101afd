package org.radishpost.direct;

import org.radishpost.http.RequestHead;
import org.radishpost.http.Response;
import org.radishpost.lib.ServiceName;
import org.radishpost.placement.TargetId;

/** How targets are spoken to, beyond HTTP itself; thread-safe. */
public interface TargetProtocol {
  /**
   * Returns the head of a call as a target gets it.
   *
   * @param head the head that the caller sent
   * @param target the only target that may run the call
   * @param remainingMillis how long the caller still waits
   */
  RequestHead callHead(RequestHead head, TargetId target, long remainingMillis);

  /** Returns the head of a question for the health and the load of a service's target. */
  RequestHead probeHead(ServiceName service);

  /** Returns what an answer says beside its body. */
  TargetResponseInfo parse(Response reply);
}
