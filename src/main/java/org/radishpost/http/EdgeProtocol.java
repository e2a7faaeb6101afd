package org.radishpost.http;

/**
 * The conventions between callers and the edge in addition to HTTP.
 *
 * @param deadlineField the field that holds the number of milliseconds that the caller will wait
 * @param addsForwardedFields whether to add X-Forwarded-For, X-Forwarded-Proto and Via to forwarded
 *     requests
 * @param refusesOutsideHomeRegions whether an edge outside the home regions of a call refuses the
 *     call; otherwise the edge accepts it and sends it only to targets in the home regions
 * @param normalizesPath whether routes match the normalized path and ambiguous paths are refused;
 *     otherwise routes match the path as received
 */
public record EdgeProtocol(
    String deadlineField,
    boolean addsForwardedFields,
    boolean refusesOutsideHomeRegions,
    boolean normalizesPath) {
  /** The conventions of the native radishpost interface. */
  public static final EdgeProtocol NATIVE =
      new EdgeProtocol(HeaderNames.DEADLINE_MILLIS, true, true, true);
}
