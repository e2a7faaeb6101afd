package org.radishpost.platform;

import org.radishpost.http.EdgeProtocol;

/** The protocol between a VM and the platform's callers and load balancer. */
public final class PlatformProtocol {
  /** The dialect of HTTP that callers use at the edge. */
  public static final EdgeProtocol EDGE =
      new EdgeProtocol(WireNames.DEADLINE_MILLIS, false, false, false);

  /** The header field with the ID of a request; targets copy it into their responses. */
  public static final String REQUEST_ID = WireNames.REQUEST_ID;

  /** The header field with the remaining time of a request, in milliseconds. */
  public static final String DEADLINE_MILLIS = WireNames.DEADLINE_MILLIS;

  /** The path at which the platform's load balancer checks whether a VM accepts callers. */
  public static final String READY_PATH = WireNames.READY_PATH;

  private PlatformProtocol() {}
}
