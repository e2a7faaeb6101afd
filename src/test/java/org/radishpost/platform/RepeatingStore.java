package org.radishpost.platform;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;
import org.radishpost.http.LateServer;
import org.radishpost.lib.Endpoint;

/**
 * A store that sends its first response twice: the copy comes late, on the same connection, just
 * before the response to the next request.
 *
 * <p>Each of its topics holds {@value #RECORDS} records, whose values name the topic and the
 * offset.
 */
final class RepeatingStore implements AutoCloseable {
  static final int RECORDS = 4;

  /** How the store answers the first request. */
  enum First {
    PAGE,
    /** A page without the last records, as if they did not fit into it. */
    PARTIAL_PAGE,
    /** Status 429. */
    REFUSAL,
    /** Nothing until the next request. */
    SILENCE
  }

  private final First first;
  private final AtomicBoolean answered = new AtomicBoolean();
  private final LateServer server;

  RepeatingStore(First first) throws IOException {
    this.first = first;
    this.server = new LateServer(this::answer);
  }

  Endpoint address() {
    return server.address();
  }

  /** Waits for a request. */
  void awaitRequest() throws InterruptedException {
    server.awaitRequest();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  private LateServer.Answer answer(String head) {
    String whole = LateServer.response("200 OK", page(head, RECORDS));
    if (!answered.compareAndSet(false, true)) {
      return new LateServer.Answer(whole, "");
    }
    return switch (first) {
      case PAGE -> LateServer.Answer.repeated(whole);
      case PARTIAL_PAGE ->
          LateServer.Answer.repeated(LateServer.response("200 OK", page(head, RECORDS / 2)));
      case REFUSAL -> LateServer.Answer.repeated(LateServer.response("429 Too Many Requests", ""));
      case SILENCE -> new LateServer.Answer("", whole);
    };
  }

  private static String page(String head, int endOfPage) {
    String topic = parameter(head, "topic");
    ByteBuffer page = ByteBuffer.allocate(1_024).putLong(RECORDS).putLong(0);
    for (int offset = Integer.parseInt(parameter(head, "from")); offset < endOfPage; offset++) {
      byte[] record = ("\1k" + topic + offset).getBytes(StandardCharsets.ISO_8859_1);
      page.putInt(record.length).put(record);
    }
    return new String(page.array(), 0, page.position(), StandardCharsets.ISO_8859_1);
  }

  private static String parameter(String head, String name) {
    String query = head.substring(head.indexOf('?') + 1, head.indexOf(" HTTP/"));
    return Stream.of(query.split("&"))
        .filter(part -> part.startsWith(name + "="))
        .map(part -> part.substring(name.length() + 1))
        .findFirst()
        .orElseThrow();
  }
}
