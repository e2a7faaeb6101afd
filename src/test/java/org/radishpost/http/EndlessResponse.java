package org.radishpost.http;

import java.util.Optional;
import org.radishpost.platform.WireNames;

/** Responses of which one part never ends. */
public enum EndlessResponse {
  STATUS_LINE("HTTP/1.1 200 ", "a".repeat(1_000)),
  HEADER_FIELD("HTTP/1.1 200 OK\r\nX-A: ", "a".repeat(1_000)),
  HEADER_FIELDS("HTTP/1.1 200 OK\r\n", "X-A: aaaaaaaaaaaaaaaaaaaa\r\n"),
  INTERIM_RESPONSES("", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"),
  CONTINUE_RESPONSES("", "HTTP/1.1 100 Continue\r\n\r\n"),
  RESPONSES_TO_OTHER_REQUESTS("", Texts.OTHER + "Content-Length: 5\r\n\r\nhello"),
  BODY_OF_RESPONSE_TO_OTHER_REQUEST(
      Texts.OTHER + "Transfer-Encoding: chunked\r\n\r\n", Texts.CHUNK),
  CHUNK_SIZE_LINE(Texts.CHUNKED + "5;a=", "a".repeat(1_000)),
  LARGE_CHUNKS(Texts.CHUNKED, Texts.CHUNK),
  SMALL_CHUNKS(Texts.CHUNKED, "1\r\na\r\n"),
  ONE_CHUNK(Texts.CHUNKED + "7fffffff\r\n", "a".repeat(1_000)),
  TRAILER_FIELD(Texts.CHUNKED + "0\r\nX-A: ", "a".repeat(1_000)),
  TRAILER_FIELDS(Texts.CHUNKED + "0\r\n", "X-A: aaaaaaaaaaaaaaaaaaaa\r\n"),
  BODY_AFTER_DECLARED_LENGTH(Texts.HEAD + "Content-Length: 5\r\n\r\nhello", "a".repeat(1_000)),
  RESPONSES_AFTER_COMPLETE_ONE("", Texts.HEAD + "Content-Length: 5\r\n\r\nhello"),
  CLOSE_DELIMITED_BODY(Texts.HEAD + "\r\n", "a".repeat(1_000));

  private final String start;
  private final String repeated;

  EndlessResponse(String start, String repeated) {
    this.start = start;
    this.repeated = repeated;
  }

  /** Returns whether a complete response to the request comes before the part that never ends. */
  public boolean startsWithCompleteResponse() {
    return this == BODY_AFTER_DECLARED_LENGTH || this == RESPONSES_AFTER_COMPLETE_ONE;
  }

  /** Returns the part before the one that never ends, in response to the given request. */
  String start(Optional<String> requestId) {
    return withId(start, requestId);
  }

  /** Returns the part that is repeated, in response to the given request. */
  String repeated(Optional<String> requestId) {
    return withId(repeated, requestId);
  }

  private static String withId(String text, Optional<String> requestId) {
    String field = requestId.map(id -> WireNames.REQUEST_ID + ": " + id + "\r\n").orElse("");
    return text.replace(Texts.OWN_ID_FIELD, field);
  }

  private static final class Texts {
    /** Stands for the field with the ID of the request, if it has one. */
    private static final String OWN_ID_FIELD = "{own id}";

    private static final String SIGNED =
        "HTTP/1.1 200 OK\r\n" + WireNames.UPSTREAM_SIGNATURE + ": proof\r\n";
    private static final String HEAD = SIGNED + OWN_ID_FIELD;
    private static final String OTHER = SIGNED + WireNames.REQUEST_ID + ": another\r\n";
    private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String CHUNK = "1000\r\n" + "a".repeat(4_096) + "\r\n";
  }
}
