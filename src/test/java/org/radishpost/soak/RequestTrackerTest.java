package org.radishpost.soak;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which outcomes {@link RequestTracker} reports as violations. */
public class RequestTrackerTest {
  private static final RequestTracker.Request READ =
      new RequestTracker.Request("r-1", "e-0", "GET", "/reads/r-1", true, "reading", "");
  private static final RequestTracker.Request WRITE =
      new RequestTracker.Request("w-1", "e-0", "POST", "/writes/w-1", false, "writing", "text");

  private RequestTracker tracker;

  /** Records a read and a write as sent. */
  @BeforeMethod
  public void recordRequests() {
    tracker = new RequestTracker();
    tracker.recordRequest(READ);
    tracker.recordRequest(WRITE);
  }

  private void recordRun(RequestTracker.Request request, String service, String body) {
    tracker.recordRun(
        request.id(),
        new RequestTracker.Run(
            "i-1", service, request.method(), request.path(), body, System.nanoTime()));
  }

  private List<String> violatedPromises() {
    return tracker.violations(SoakSystem.MAX_ATTEMPTS).stream().map(Violation::promise).toList();
  }

  private static HttpCodec.Message response(int status, String signature, String body) {
    return new HttpCodec.Message(
        "HTTP/1.1 " + status + " Said",
        Map.of("x-upstream-signature", signature, "x-instance-id", "i-1"),
        body.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  public void retriedReadAndAnsweredWriteAreAllowed() {
    recordRun(READ, "reading", "");
    recordRun(READ, "reading", "");
    recordRun(WRITE, "writing", "text");
    tracker.recordResponse(
        READ, response(200, "proof-of-r-1", SoakTarget.responseBody("i-1", "r-1")));
    tracker.recordResponse(WRITE, response(500, "proof-of-w-1", SoakTarget.FAILURE_BODY));
    assertEquals(violatedPromises(), List.of());
  }

  @Test
  public void rejectedWriteThatDidNotRunIsAllowed() {
    tracker.recordResponse(WRITE, response(503, "", "later"));
    assertEquals(violatedPromises(), List.of());
  }

  @Test
  public void writeThatRanTwiceIsReported() {
    recordRun(WRITE, "writing", "text");
    recordRun(WRITE, "writing", "text");
    assertEquals(violatedPromises(), List.of("TWICE"));
  }

  @Test
  public void rejectedWriteThatRanIsReported() {
    recordRun(WRITE, "writing", "text");
    tracker.recordResponse(WRITE, response(429, "", "later"));
    assertEquals(violatedPromises(), List.of("REFUSED"));
  }

  @Test
  public void readThatExceedsMaxAttemptsIsReported() {
    for (int i = 0; i <= SoakSystem.MAX_ATTEMPTS; i++) {
      recordRun(READ, "reading", "");
    }
    assertEquals(violatedPromises(), List.of("BUDGET"));
  }

  @Test
  public void changedBodyOrUnknownRequestIsReported() {
    recordRun(WRITE, "writing", "tex");
    recordRun(
        new RequestTracker.Request("x-1", "", "GET", "/", true, "reading", ""), "reading", "");
    assertEquals(violatedPromises(), List.of("UNASKED", "UNASKED"));
  }

  @Test
  public void runAtAnotherServiceIsReported() {
    recordRun(READ, "writing", "");
    assertEquals(violatedPromises(), List.of("ROUTE"));
  }

  @Test
  public void mismatchedOrTruncatedResponseIsReported() {
    tracker.recordResponse(
        READ, response(200, "proof-of-w-1", SoakTarget.responseBody("i-1", "r-1")));
    String fullBody = SoakTarget.responseBody("i-1", "r-1");
    tracker.recordResponse(READ, response(200, "proof-of-r-1", fullBody.substring(1)));
    assertEquals(violatedPromises(), List.of("MIXED", "MIXED"));
  }

  @Test
  public void deniedRequestIsReported() {
    tracker.recordResponse(READ, response(404, "", "no such route"));
    assertEquals(violatedPromises(), List.of("DENIED"));
  }
}
