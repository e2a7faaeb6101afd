package org.radishpost.http;

import java.util.Set;
import java.util.TreeSet;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.Verdict;
import org.radishpost.pool.HandBackReason;

/** The texts of all refusals towards callers. */
public final class Problems {
  private Problems() {}

  /** The request breaks the protocol. */
  public static Problem badRequest(String detail) {
    return new Problem(
        400, "bad-request", "The request is not valid HTTP/1.1.", detail, Verdict.NOT_RUN);
  }

  /** The HTTP library refused the request or could not answer it. */
  static Problem fromLibraryStatus(int status, Verdict verdict) {
    return switch (status) {
      case 400 -> badRequest("Send the head and the body as RFC 9112 tells.").withVerdict(verdict);
      case 413, 414, 431 ->
          new Problem(
              status,
              "head-too-large",
              "The head of the request is too large.",
              "Send a shorter path and fewer or shorter header fields.",
              verdict);
      default -> responseLost(status, "The answer could not be written.");
    };
  }

  /** No gateway has a route for the request. */
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

  /** The call may not be in this VM's region. */
  public static Problem outsideHomeRegions(Set<RegionName> homeRegions) {
    return new Problem(
        421,
        "outside-home-regions",
        "This request is served only in its home regions.",
        "Send it to an entry in one of: " + joinNames(homeRegions) + ".",
        Verdict.NOT_RUN);
  }

  /** This VM may not take callers' requests now. */
  public static Problem notReady(String reason) {
    return new Problem(
        503, "not-ready", "This VM does not take requests now.", reason, Verdict.NOT_RUN);
  }

  /** Nobody could run the call. */
  public static Problem handedBack(HandBackReason reason) {
    return switch (reason) {
      case QUEUE_FULL, NO_TARGET, NOT_OWNER ->
          new Problem(
              503,
              "no-capacity",
              "No target can take the request now.",
              "Send it again after a short while.",
              Verdict.NOT_RUN);
      case TOO_LATE ->
          new Problem(
              503,
              "deadline-cannot-be-met",
              "The request cannot end before its deadline.",
              "Send it again later or with a longer deadline.",
              Verdict.NOT_RUN);
      case SUSPECT ->
          new Problem(
              503,
              "crashes-targets",
              "Targets have crashed while they ran this request; it is not sent for a while.",
              "Change the request, or ask the operators to look at the targets' logs.",
              Verdict.NOT_RUN);
    };
  }

  /** The call was sent and its fate is not known. */
  public static Problem responseLost(int status, String cause) {
    return new Problem(
        status,
        "answer-lost",
        "The request was sent, but no whole answer came back.",
        cause + " Find out whether it ran before you send it again.",
        Verdict.UNKNOWN);
  }

  /** The route needs an idempotency key. */
  public static Problem keyMissing() {
    return new Problem(
        400,
        "idempotency-key-missing",
        "The route takes only requests with an Idempotency-Key.",
        "Send a UUID of version 7, or the time in milliseconds since 1970, a hyphen and a random"
            + " text.",
        Verdict.NOT_RUN);
  }

  /** The key is no key, or bears a time in the future, or was used with another request. */
  public static Problem keyMisused() {
    return new Problem(
        422,
        "idempotency-key-misused",
        "The Idempotency-Key bears a time in the future or was used with another request.",
        "Use a new key for a new request, and check the caller's clock.",
        Verdict.NOT_RUN);
  }

  /** An earlier attempt with the key holds it. */
  public static Problem keyHeld() {
    return new Problem(
        409,
        "earlier-attempt",
        "An earlier attempt with this Idempotency-Key was allowed to run.",
        "Its outcome is not known yet: ask again with the same key, it will not run twice.",
        Verdict.UNKNOWN);
  }

  /** The key is older than the log remembers. */
  public static Problem keyTooOld() {
    return new Problem(
        410,
        "idempotency-key-too-old",
        "The Idempotency-Key is older than the time for which keys are kept.",
        "Whether it ran can no longer be told here: ask the service.",
        Verdict.UNKNOWN);
  }

  /** The log could not be asked in time. */
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
