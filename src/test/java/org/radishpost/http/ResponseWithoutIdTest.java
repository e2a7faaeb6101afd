package org.radishpost.http;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests requests whose callers send no ID, so that their responses bear none. */
public class ResponseWithoutIdTest {
  private static final RequestHead REQUEST = RequestHead.get("/a");
  private static final String FIRST = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
  private static final String SECOND = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";

  /** Nothing tells the copy from the second response. */
  @Test
  public void requestWithoutIdNeverGetsCopyOfEarlierResponse() throws Exception {
    SenderFixture fixture = new SenderFixture("response-without-id-test");
    try (ScriptedTarget target = new ScriptedTarget(FIRST, FIRST + SECOND, SECOND)) {
      assertEquals(fixture.call(target.address(), REQUEST), "200 first");
      assertEquals(fixture.call(target.address(), REQUEST), "200 second");
    } finally {
      fixture.close();
    }
  }
}
