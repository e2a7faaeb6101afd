package org.radishpost.http;

/**
 * How callers speak to the edge, beyond HTTP itself.
 *
 * @param deadlineField the field with the milliseconds that the caller will wait
 * @param addsForwardedFields whether targets are told the caller's address and the way of a call
 * @param refusesOutsideHomeRegions whether a call is refused at an edge outside its home regions;
 *     otherwise the edge takes it and sends it only to targets at home
 * @param normalizesPath whether routes match the path in its plain form, and paths that two readers
 *     could take for two are refused; otherwise they match the path as it was sent
 */
public record EdgeProtocol(
    String deadlineField,
    boolean addsForwardedFields,
    boolean refusesOutsideHomeRegions,
    boolean normalizesPath) {
  /** The dialect of radishpost's own interface. */
  public static final EdgeProtocol NATIVE =
      new EdgeProtocol(HeaderNames.DEADLINE_MILLIS, true, true, true);
}
