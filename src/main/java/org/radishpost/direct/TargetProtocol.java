package org.radishpost.direct;

import org.radishpost.http.RequestHead;
import org.radishpost.http.Response;
import org.radishpost.lib.ServiceName;
import org.radishpost.placement.TargetId;

/** Builds requests for targets and parses their responses; thread-safe. */
public interface TargetProtocol {
  /** The maximum size of the body of the response to a probe. */
  int MAX_PROBE_RESPONSE_BYTES = 65_536;

  /**
   * Returns the request head of a call as sent to a target.
   *
   * @param head the request head from the caller
   * @param target the only target that may run the call
   * @param remainingMillis the remaining time until the deadline of the call
   */
  RequestHead callHead(RequestHead head, TargetId target, long remainingMillis);

  /** Returns the request head of a probe for the health and load of a target of the service. */
  RequestHead probeHead(ServiceName service);

  /** Parses the header section of a response. */
  TargetResponseInfo parse(Response response);
}
