package org.radishpost.http;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.Verdict;
import org.radishpost.pool.HandBackReason;
import org.radishpost.routing.RouteMatch;
import org.radishpost.routing.RouteTable;

/** Decides from the head of a request whether this VM accepts it. */
final class EdgeAdmission {
  /** Short, because the caller can try another VM almost immediately. */
  private static final Duration NOT_READY_RETRY_AFTER = Duration.ofMillis(100);

  private final EdgeProtocol protocol;
  private final RegionName region;
  private final Supplier<RouteTable> routes;
  private final Readiness readiness;

  EdgeAdmission(
      EdgeProtocol protocol, RegionName region, Supplier<RouteTable> routes, Readiness readiness) {
    this.protocol = protocol;
    this.region = region;
    this.routes = routes;
    this.readiness = readiness;
  }

  /** The decision on a request. */
  sealed interface Decision {
    /**
     * The request is refused.
     *
     * @param response the response, after which the connection closes
     */
    record Refused(Response response) implements Decision {}

    /**
     * The request is accepted.
     *
     * @param match the matched route
     */
    record Accepted(RouteMatch match) implements Decision {}
  }

  /** Returns the decision on the request with the given head. */
  Decision decide(IncomingRequestHead head) {
    Optional<Problem> problem = RequestValidator.validate(head, protocol);
    if (problem.isPresent()) {
      return refuse(problem.get());
    }
    if (!readiness.servesRequests()) {
      Response response = Response.of(Problems.notReady(readiness.notReadyReason()));
      return new Decision.Refused(response.withRetryAfter(NOT_READY_RETRY_AFTER));
    }
    Optional<RouteMatch> match =
        RequestValidator.routePath(head.target(), protocol)
            .flatMap(path -> routes.get().find(RequestValidator.host(head), head.method(), path));
    if (match.isEmpty()) {
      return refuse(Problems.noRoute());
    }
    return checkRoute(head, match.get())
        .map(EdgeAdmission::refuse)
        .orElseGet(() -> new Decision.Accepted(match.get()));
  }

  /** Returns the maximum time that the caller waits for the response. */
  Duration timeout(IncomingRequestHead head, RouteMatch match) {
    long routeMillis = match.route().deadline().toMillis();
    return Duration.ofMillis(
        NumericHeaderFields.deadlineMillis(head.headers(), protocol, routeMillis));
  }

  /** Returns the problem for a body that is larger than its route allows. */
  static Problem bodyTooLarge(RouteMatch match, Verdict verdict) {
    return Problems.bodyTooLarge(match.route().maxBodyBytes(), verdict);
  }

  private Optional<Problem> checkRoute(IncomingRequestHead head, RouteMatch match) {
    if (protocol.refusesOutsideHomeRegions() && !match.route().allowsRegion(region)) {
      return Optional.of(Problems.outsideHomeRegions(match.route().homeRegions()));
    }
    if (RequestValidator.contentLength(head.headers()) > match.route().maxBodyBytes()) {
      return Optional.of(bodyTooLarge(match, Verdict.NOT_RUN));
    }
    if (timeout(head, match).isZero()) {
      return Optional.of(Problems.handedBack(HandBackReason.TOO_LATE));
    }
    return Optional.empty();
  }

  private static Decision refuse(Problem problem) {
    return new Decision.Refused(Response.of(problem));
  }
}
