package org.radishpost.http;

/** What ended a response. */
public enum ResponseEnd {
  /** It has not ended. */
  NONE,
  /** Its framing: the declared length or the last chunk was received, or it has no body. */
  FRAMING,
  /** Its sender closed the connection. */
  PEER_CLOSED,
  /** Its sender closed the connection before the whole request had been sent. */
  PEER_CLOSED_EARLY,
  /** Its sender closed the connection, then reset it: it had not read the whole request. */
  PEER_RESET_AFTER_END,
  /** This process closed the connection. */
  CLOSED_HERE,
  /** The connection failed. */
  CONNECTION_FAILED,
  /** The head of another response, among the bytes of its body. */
  SECOND_RESPONSE,
  /** Bytes that are not an HTTP/1.1 response. */
  MALFORMED
}
