package org.radishpost.http;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.Verdict;
import org.radishpost.pool.HandBackReason;
import org.radishpost.routing.RouteMatch;
import org.radishpost.routing.RouteTable;

/** Decides from the head of a request whether this VM takes it. */
final class EdgeAdmission {
  /** Another VM may be tried almost at once. */
  private static final Duration NOT_READY_RETRY_AFTER = Duration.ofMillis(100);

  private final EdgeDialect dialect;
  private final RegionName region;
  private final Supplier<RouteTable> routes;
  private final Readiness readiness;

  EdgeAdmission(
      EdgeDialect dialect, RegionName region, Supplier<RouteTable> routes, Readiness readiness) {
    this.dialect = dialect;
    this.region = region;
    this.routes = routes;
    this.readiness = readiness;
  }

  /** What becomes of a request. */
  sealed interface Decision {
    /**
     * It is not taken.
     *
     * @param reply the answer, after which the connection closes
     */
    record Refused(Reply reply) implements Decision {}

    /**
     * It is taken.
     *
     * @param match its route
     */
    record Taken(RouteMatch match) implements Decision {}
  }

  /** Returns what becomes of a request with the head. */
  Decision decide(IncomingHead head) {
    Optional<Problem> fault = RequestCheck.fault(head, dialect);
    if (fault.isPresent()) {
      return refused(fault.get());
    }
    if (!readiness.mayServe()) {
      Reply reply = Reply.of(Problems.notReady(readiness.why()));
      return new Decision.Refused(reply.withRetryAfter(NOT_READY_RETRY_AFTER));
    }
    Optional<RouteMatch> match =
        RequestCheck.path(head.target(), dialect)
            .flatMap(path -> routes.get().find(RequestCheck.host(head), head.method(), path));
    if (match.isEmpty()) {
      return refused(Problems.noRoute());
    }
    return refusal(head, match.get())
        .map(EdgeAdmission::refused)
        .orElseGet(() -> new Decision.Taken(match.get()));
  }

  /** Returns how long the caller waits for the answer at most. */
  Duration limit(IncomingHead head, RouteMatch match) {
    long most = match.route().deadline().toMillis();
    return Duration.ofMillis(EdgeNumbers.deadlineMillis(head.headers(), dialect, most));
  }

  /** Returns the refusal of a body that is longer than its route allows. */
  static Problem tooLarge(RouteMatch match, Verdict verdict) {
    return Problems.bodyTooLarge(match.route().maxBodyBytes(), verdict);
  }

  private Optional<Problem> refusal(IncomingHead head, RouteMatch match) {
    if (dialect.refusesOutsideHome() && !match.route().allowsRegion(region)) {
      return Optional.of(Problems.outsideHome(match.route().homeRegions()));
    }
    if (RequestCheck.bodyBytes(head.headers()) > match.route().maxBodyBytes()) {
      return Optional.of(tooLarge(match, Verdict.NOT_RUN));
    }
    if (limit(head, match).isZero()) {
      return Optional.of(Problems.handedBack(HandBackReason.TOO_LATE));
    }
    return Optional.empty();
  }

  private static Decision refused(Problem problem) {
    return new Decision.Refused(Reply.of(problem));
  }
}
