package org.radishpost.http;

/**
 * Whether this VM accepts requests of callers, as reported to the platform's load balancer and
 * applied by the edge.
 */
public interface Readiness {
  /** The path that the load balancer requests. */
  String PATH = "/.radishpost/ready";

  /** Returns whether the load balancer should send requests to this VM. */
  boolean ready();

  /** Returns whether this VM serves the requests that it receives, even if it is not ready. */
  boolean servesRequests();

  /** Returns whether callers may keep their connections open. */
  boolean allowsKeepAlive();

  /** Returns why this VM is not ready, or an empty string. */
  String notReadyReason();

  /** Returns the response for the load balancer. */
  default Response response() {
    if (!ready()) {
      return Response.of(Problems.notReady(notReadyReason()));
    }
    return Responses.text(200, "ready\n");
  }
}
