package org.radishpost.http;

import java.util.stream.Stream;

/** Spoils the head of a valid response in each way that a client must notice. */
public final class MalformedHeads {
  private static final String STATUS = "HTTP/1.1 200";
  private static final String LENGTH = "Content-Length:";
  private static final String LINE_END = "\r\n";

  private MalformedHeads() {}

  /** Returns a row for each way to spoil a response with status 200 and a content length. */
  public static Object[][] rows(String response) {
    return Stream.of(
            response.replaceFirst(STATUS, "HTTP/1.1 000"),
            response.replaceFirst(STATUS, "HTTP/1.1 0200"),
            response.replaceFirst(LINE_END, LINE_END + "X A: v" + LINE_END),
            response.replaceFirst(LENGTH, "Content-Length :"),
            response.replaceFirst(LINE_END, LINE_END + "X-A: v\u0001" + LINE_END))
        .map(malformed -> new Object[] {malformed})
        .toArray(Object[][]::new);
  }
}
