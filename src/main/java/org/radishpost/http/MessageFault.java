package org.radishpost.http;

/** Why bytes are not an HTTP/1.1 message (RFC 9112). */
public enum MessageFault {
  /** A line has a carriage return in it. */
  BARE_CARRIAGE_RETURN("A carriage return is not followed by a line feed."),
  /** A line ends with a line feed only. */
  BARE_LINE_FEED("A line feed is not preceded by a carriage return."),
  /** A line has a control character in it that is not a tab. */
  CONTROL_CHARACTER("A line contains a control character."),
  /** A line exceeds the limit. */
  LONG_LINE("A line is too long."),
  /** The first line of a response is not its version, status and reason phrase. */
  STATUS_LINE("The status line is not a version, three digits and a reason phrase."),
  /** The status has no meaning (RFC 9110, section 15). */
  STATUS_CODE("The status code is not between 100 and 599."),
  /** A field goes on in another line. */
  LINE_FOLDING("A header field uses obsolete line folding."),
  /** The name of a field is not a token, or there is no colon directly behind it. */
  FIELD_NAME("A header field name is not a valid token."),
  /** The length of the body is not clear. */
  CONTENT_LENGTH("Content-Length occurs more than once or is not a number."),
  /** The body of a request has another transfer coding than chunks. */
  TRANSFER_ENCODING("Transfer-Encoding is not exactly one chunked coding."),
  /** The chunks of a response are coded once more. */
  CHUNKED_NOT_LAST("Transfer-Encoding has another coding behind the chunked one."),
  /** The body has two ways to find its end. */
  CONFLICTING_LENGTHS("Both Content-Length and Transfer-Encoding are present."),
  /** The size of a chunk is not clear. */
  CHUNK_SIZE("A chunk size is not a hexadecimal number."),
  /** Other bytes than the end of a line follow the data of a chunk. */
  CHUNK_END("A chunk is longer than its size.");

  private final String detail;

  MessageFault(String detail) {
    this.detail = detail;
  }

  /** Returns a sentence that describes the fault. */
  public String detail() {
    return detail;
  }
}
