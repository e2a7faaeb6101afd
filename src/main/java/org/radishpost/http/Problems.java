package org.radishpost.http;

import java.util.Set;
import java.util.TreeSet;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.Verdict;
import org.radishpost.pool.HandBackReason;

/** The problem documents that callers receive. */
public final class Problems {
  private static final int BAD_GATEWAY = 502;

  private Problems() {}

  /** The request violates HTTP or the conventions of the edge. */
  public static Problem badRequest(String detail) {
    return new Problem(
        400, "bad-request", "The request is not valid HTTP/1.1.", detail, Verdict.NOT_RUN);
  }

  /** The HTTP library refused the request or failed to respond to it. */
  static Problem fromLibraryStatus(int status, Verdict verdict) {
    return switch (status) {
      case 400 ->
          badRequest("Send a head and a body that conform to RFC 9112.").withVerdict(verdict);
      case 413, 414, 431 ->
          new Problem(
              status,
              "head-too-large",
              "The head of the request is too large.",
              "Send a shorter path and fewer or shorter header fields.",
              verdict);
      default -> responseLost(status, "The response could not be written.");
    };
  }

  /** No gateway has a route that matches the request. */
  public static Problem noRoute() {
    return new Problem(
        404,
        "no-route",
        "No route takes this request.",
        "Check the host, the method and the path against the gateway's manifest.",
        Verdict.NOT_RUN);
  }

  /** The body is larger than the route allows. */
  public static Problem bodyTooLarge(long maxBytes, Verdict verdict) {
    return new Problem(
        413,
        "body-too-large",
        "The body is too large for the route.",
        "Send at most " + maxBytes + " bytes.",
        verdict);
  }

  /** The route does not allow requests in the region of this VM. */
  public static Problem outsideHomeRegions(Set<RegionName> homeRegions) {
    return new Problem(
        421,
        "outside-home-regions",
        "This request is served only in its home regions.",
        "Send it to an entry in one of these regions: " + joinNames(homeRegions) + ".",
        Verdict.NOT_RUN);
  }

  /** This VM does not currently accept requests of callers. */
  public static Problem notReady(String reason) {
    return new Problem(
        503, "not-ready", "This VM does not take requests now.", reason, Verdict.NOT_RUN);
  }

  /** The call was handed back and could not be run elsewhere. */
  public static Problem handedBack(HandBackReason reason) {
    return switch (reason) {
      case QUEUE_FULL, NO_TARGET, NOT_OWNER ->
          new Problem(
              503,
              "no-capacity",
              "No target can take the request now.",
              "Send the request again after a short delay.",
              Verdict.NOT_RUN);
      case TOO_LATE ->
          new Problem(
              503,
              "deadline-cannot-be-met",
              "The request cannot end before its deadline.",
              "Send the request again later or with a longer deadline.",
              Verdict.NOT_RUN);
      case SUSPECT ->
          new Problem(
              503,
              "crashes-targets",
              "Targets have crashed while they ran this request; it is not sent for a while.",
              "Change the request, or ask the operators to check the logs of the targets.",
              Verdict.NOT_RUN);
    };
  }

  /**
   * The call was sent, and it is not known whether it ran.
   *
   * @param status the status of the response; one that means "not run" is replaced by 502
   * @param cause what happened
   */
  public static Problem responseLost(int status, String cause) {
    return new Problem(
        NotRunStatus.includes(status) ? BAD_GATEWAY : status,
        "answer-lost",
        "The request was sent, but no whole answer came back.",
        cause + " Check whether the request ran before you send it again.",
        Verdict.UNKNOWN);
  }

  /** The route requires an idempotency key. */
  public static Problem keyMissing() {
    return new Problem(
        400,
        "idempotency-key-missing",
        "The route takes only requests with an Idempotency-Key.",
        "Send a version 7 UUID, or the time in milliseconds since 1970, a hyphen and a random"
            + " string.",
        Verdict.NOT_RUN);
  }

  /** The key is malformed, has a timestamp in the future or was used with a different request. */
  public static Problem keyMisused() {
    return new Problem(
        422,
        "idempotency-key-misused",
        "The Idempotency-Key bears a time in the future or was used with another request.",
        "Use a new key for a new request, and check the caller's clock.",
        Verdict.NOT_RUN);
  }

  /** An earlier attempt with the same key has claimed the key. */
  public static Problem keyHeld() {
    return new Problem(
        409,
        "earlier-attempt",
        "An earlier attempt with this Idempotency-Key was allowed to run.",
        "Its outcome is not known yet. Retry with the same key; it will not run twice.",
        Verdict.UNKNOWN);
  }

  /** The key is older than the retention period of the claim log. */
  public static Problem keyTooOld() {
    return new Problem(
        410,
        "idempotency-key-too-old",
        "The Idempotency-Key is older than the time for which keys are kept.",
        "It is no longer known here whether the request ran. Check with the service.",
        Verdict.UNKNOWN);
  }

  /** The claim log did not respond in time. */
  public static Problem claimUnavailable() {
    return new Problem(
        503,
        "claim-unavailable",
        "The key could not be claimed in time.",
        "Send the request again with the same key.",
        Verdict.NOT_RUN);
  }

  private static String joinNames(Set<RegionName> regions) {
    return String.join(", ", new TreeSet<>(regions.stream().map(RegionName::value).toList()));
  }
}
