package org.radishpost.http;

/** Whether this VM takes callers' requests, for the platform's balancer and for the edge. */
public interface Readiness {
  /** The path at which the platform's balancer asks. */
  String PATH = "/.radishpost/ready";

  /** Tells whether the balancer should send requests here. */
  boolean ready();

  /** Tells whether requests that come all the same are served. */
  boolean servesRequests();

  /** Tells whether callers may keep their connections. */
  boolean allowsKeepAlive();

  /** Returns why this VM is not ready, or an empty text. */
  String notReadyReason();

  /** Returns the answer for the balancer. */
  default Response response() {
    if (!ready()) {
      return Response.of(Problems.notReady(notReadyReason()));
    }
    return Responses.text(200, "ready\n");
  }
}
