package org.radishpost.standin;

/**
 * The faults and modes of a target stand-in, set by {@code PUT /control}. Immutable.
 *
 * <p>A field that is absent from the JSON document has its zero value.
 *
 * @param slowFactor the factor by which service times are multiplied; values below 1 have no effect
 * @param failFast whether every call immediately fails with status 500
 * @param silent whether calls and load probes are accepted but never receive a response
 * @param shed whether every call is shed
 * @param draining whether load reports announce that the target is draining
 * @param crashMarker a text that crashes the target when a request contains it in its URI or has it
 *     as a header value; null or empty for none
 * @param cutAnswers the number of following responses that are truncated in the middle of the body
 * @param coldAgain whether the target immediately becomes cold, without a new incarnation; applies
 *     once per control request
 * @param crashNow whether the target immediately crashes; applies once per control request
 * @param reportDelayMillis the age of the load reports, in milliseconds
 * @param misleadingReport a text that replaces every load report; null for actual reports
 */
public record TargetControl(
    double slowFactor,
    boolean failFast,
    boolean silent,
    boolean shed,
    boolean draining,
    String crashMarker,
    int cutAnswers,
    boolean coldAgain,
    boolean crashNow,
    long reportDelayMillis,
    String misleadingReport) {
  /** No faults. */
  public static final TargetControl NONE =
      new TargetControl(1, false, false, false, false, null, 0, false, false, 0, null);

  /** Returns a control that multiplies service times by the given factor and has no other fault. */
  public static TargetControl slow(double factor) {
    return new TargetControl(factor, false, false, false, false, null, 0, false, false, 0, null);
  }
}
