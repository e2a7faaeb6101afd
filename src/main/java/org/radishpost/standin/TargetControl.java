package org.radishpost.standin;

/**
 * What is wrong with a target stand-in, as {@code PUT /control} takes it; immutable.
 *
 * <p>A field that is absent from the JSON text has its zero value.
 *
 * @param slowFactor how many times slower it is; 0 and 1 for no change
 * @param failFast whether it answers every call with status 500 at once
 * @param silent whether it takes calls and never answers, probes included
 * @param shed whether it sheds every call
 * @param draining whether its reports say that it wants no new work
 * @param crashMarker a text that makes it crash when a request has it in its path or as the value
 *     of a header; absent or empty for none
 * @param cutAnswers how many of the next answers are cut in the middle of the body
 * @param coldAgain whether it turns cold now without a new incarnation; once for each request
 * @param crashNow whether it crashes now; once for each request
 * @param reportDelayMillis how old its load reports are
 * @param misleadingReport a text that stands in every load report; absent for the truth
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
  /** Nothing is wrong. */
  public static final TargetControl NONE =
      new TargetControl(1, false, false, false, false, null, 0, false, false, 0, null);

  /** Returns a target that is so many times slower and otherwise well. */
  public static TargetControl slow(double factor) {
    return new TargetControl(factor, false, false, false, false, null, 0, false, false, 0, null);
  }
}
