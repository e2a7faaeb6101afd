package org.radishpost.http;

/** A response that no request waits for, by the moment at which it was read. */
public enum SurplusResponse {
  /** It names a request, and the connection was idle. */
  IDLE_WITH_ID,
  /** It names no request, and the connection was idle. */
  IDLE_WITHOUT_ID,
  /** It names another request than the one that waited. */
  WAITING_WITH_OTHER_ID,
  /** It names no request while one waited: a late copy, or the response of a faulty target. */
  WAITING_WITHOUT_ID,
  /** Its head was read as one with another, which was cut. */
  WITHIN_HEAD,
  /** Its head stood among the bytes of a body. */
  WITHIN_BODY
}
