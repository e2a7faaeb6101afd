package org.radishpost.platform;

import org.radishpost.http.EdgeProtocol;

/** What the platform's callers and balancer expect of a VM. */
public final class PlatformProtocol {
  /** How callers speak to the edge. */
  public static final EdgeProtocol EDGE =
      new EdgeProtocol(WireNames.DEADLINE_MILLIS, false, false, false);

  /** The field that names a request, and that targets repeat in their answers. */
  public static final String REQUEST_ID = WireNames.REQUEST_ID;

  /** The path at which the platform's balancer asks whether a VM takes callers. */
  public static final String READY_PATH = WireNames.READY_PATH;

  private PlatformProtocol() {}
}
