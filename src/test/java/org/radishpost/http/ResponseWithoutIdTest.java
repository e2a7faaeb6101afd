package org.radishpost.http;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.radishpost.errors.RadishpostException;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;

/** Tests requests whose callers send no ID, so that their responses bear none. */
public class ResponseWithoutIdTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final String FIRST = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
  private static final String SECOND = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";

  /** Nothing tells the copy from the second response. */
  @Test
  public void requestWithoutIdNeverGetsCopyOfEarlierResponse() throws Exception {
    SenderFixture fixture = new SenderFixture("response-without-id-test");
    try (ScriptedTarget target = new ScriptedTarget(FIRST, FIRST + SECOND, SECOND)) {
      assertEquals(call(fixture, target), "first");
      assertEquals(call(fixture, target), "second");
    } finally {
      fixture.close();
    }
  }

  private static String call(SenderFixture fixture, ScriptedTarget target) throws Exception {
    fixture.awaitIdleConnections();
    return fixture
        .sender()
        .send(target.address(), RequestHead.get("/a"), CallBody.buffered(new byte[0]), TIMEOUT)
        .flatMap(
            response -> response.body().map(ResponseWithoutIdTest::take).reduce("", String::concat))
        .onErrorResume(
            RadishpostException.class, error -> Mono.just(error.getClass().getSimpleName()))
        .block(TIMEOUT);
  }

  private static String take(ByteBuf bytes) {
    try {
      return bytes.toString(StandardCharsets.ISO_8859_1);
    } finally {
      bytes.release();
    }
  }
}
