package org.radishpost.soak;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which outcomes {@link RequestTracker} reports as violations. */
public class RequestTrackerTest {
  private static final RequestTracker.Request READ =
      new RequestTracker.Request("r-1", 0, "e-0", "GET", "/reads/r-1", true, "reading", "", 0);
  private static final RequestTracker.Request WRITE =
      new RequestTracker.Request(
          "w-1", 0, "e-0", "POST", "/writes/w-1", false, "writing", "text", 1);

  private RequestTracker tracker;
  private int runCount;

  /** Records a read and a write as sent. */
  @BeforeMethod
  public void recordRequests() {
    tracker = new RequestTracker();
    tracker.recordRequest(READ);
    tracker.recordRequest(WRITE);
  }

  private RequestTracker.Run recordRun(
      RequestTracker.Request request, String service, String body) {
    return recordRun(request, service, body, 200);
  }

  private RequestTracker.Run recordRun(
      RequestTracker.Request request, String service, String body, int status) {
    RequestTracker.Run run =
        new RequestTracker.Run(
            ++runCount,
            request.id(),
            "i-1",
            service,
            request.method(),
            request.path(),
            Optional.of(body),
            status,
            System.nanoTime());
    tracker.recordRun(request.attempt(), run);
    return run;
  }

  private List<String> violatedPromises() {
    return tracker.violations(SoakSystem.MAX_ATTEMPTS).stream().map(Violation::promise).toList();
  }

  private static HttpCodec.Message response(RequestTracker.Run run) {
    return response(run.status(), SoakTarget.signature(run), SoakTarget.responseBody(run));
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
    tracker.recordResponse(READ, response(recordRun(READ, "reading", "")));
    tracker.recordResponse(WRITE, response(recordRun(WRITE, "writing", "text", 500)));
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
        new RequestTracker.Request("x-1", 0, "", "GET", "/", true, "reading", "", 0),
        "reading",
        "");
    assertEquals(violatedPromises(), List.of("UNASKED", "UNASKED"));
  }

  @Test
  public void runAtAnotherServiceIsReported() {
    recordRun(READ, "writing", "");
    assertEquals(violatedPromises(), List.of("ROUTE"));
  }

  @Test
  public void responseOfAnotherRequestIsReported() {
    RequestTracker.Run run = recordRun(READ, "reading", "");
    RequestTracker.Run otherRun = recordRun(WRITE, "writing", "text");
    tracker.recordResponse(READ, response(otherRun));
    tracker.recordResponse(
        READ, response(200, SoakTarget.signature(otherRun), SoakTarget.responseBody(run)));
    tracker.recordResponse(READ, response(200, "", SoakTarget.responseBody(run)));
    assertEquals(violatedPromises(), List.of("MIXED", "MIXED", "MIXED"));
  }

  @Test
  public void responseWithPartOfBodyIsReported() {
    RequestTracker.Run run = recordRun(READ, "reading", "");
    String body = SoakTarget.responseBody(run);
    String signature = SoakTarget.signature(run);
    tracker.recordResponse(READ, response(200, signature, body.substring(1)));
    tracker.recordResponse(READ, response(200, signature, body.substring(0, body.length() / 2)));
    tracker.recordResponse(READ, response(200, signature, body + body));
    assertEquals(violatedPromises(), List.of("MIXED", "MIXED", "MIXED"));
  }

  @Test
  public void responseOfEarlierAttemptIsReported() {
    RequestTracker.Run firstRun = recordRun(READ, "reading", "");
    RequestTracker.Request second = READ.repeated(1);
    tracker.recordRequest(second);
    recordRun(second, "reading", "", 500);
    tracker.recordResponse(READ, response(firstRun));
    tracker.recordResponse(second, response(firstRun));
    assertEquals(violatedPromises(), List.of("MIXED"));
  }

  @Test
  public void bodyOfAnotherRunOfSameAttemptIsReported() {
    RequestTracker.Run firstRun = recordRun(READ, "reading", "");
    RequestTracker.Run secondRun = recordRun(READ, "reading", "");
    tracker.recordResponse(
        READ, response(200, SoakTarget.signature(secondRun), SoakTarget.responseBody(firstRun)));
    assertEquals(violatedPromises(), List.of("MIXED"));
  }

  @Test
  public void statusThatTargetDidNotGiveIsReported() {
    RequestTracker.Run failed = recordRun(READ, "reading", "", 500);
    RequestTracker.Run succeeded = recordRun(WRITE, "writing", "text");
    String body = SoakTarget.responseBody(failed);
    tracker.recordResponse(READ, response(200, SoakTarget.signature(failed), body));
    tracker.recordResponse(
        WRITE, response(500, SoakTarget.signature(succeeded), SoakTarget.responseBody(succeeded)));
    assertEquals(violatedPromises(), List.of("MIXED", "MIXED"));
  }

  @Test
  public void responseToHeadWithBodyIsReported() {
    RequestTracker.Request head =
        new RequestTracker.Request("h-1", 0, "e-0", "HEAD", "/reads/h-1", true, "reading", "", 0);
    tracker.recordRequest(head);
    RequestTracker.Run run = recordRun(head, "reading", "");
    tracker.recordResponse(head, response(200, SoakTarget.signature(run), ""));
    assertEquals(violatedPromises(), List.of());
    tracker.recordResponse(head, response(run));
    assertEquals(violatedPromises(), List.of("MIXED"));
  }

  @Test
  public void eachAttemptOfWriteMayRunOnce() {
    RequestTracker.Request second = WRITE.repeated(1);
    tracker.recordRequest(second);
    recordRun(WRITE, "writing", "text");
    recordRun(second, "writing", "text");
    assertEquals(violatedPromises(), List.of());
  }

  @Test
  public void runWithoutAttemptOrUnderAnotherIdIsReported() {
    RequestTracker.Request second = WRITE.repeated(1);
    recordRun(second, "writing", "text");
    RequestTracker.Run run = recordRun(READ, "reading", "");
    tracker.recordRun(WRITE.attempt(), run);
    assertEquals(
        violatedPromises().stream().sorted().toList(), List.of("ROUTE", "UNASKED", "UNASKED"));
  }

  @Test
  public void secondRunOfOneAttemptAmongSeveralIsReported() {
    RequestTracker.Request second = WRITE.repeated(1);
    tracker.recordRequest(second);
    recordRun(second, "writing", "text");
    recordRun(second, "writing", "text");
    assertEquals(violatedPromises(), List.of("TWICE"));
  }

  @Test
  public void rejectedAttemptThatRanIsReportedThoughAnotherWasServed() {
    RequestTracker.Request second = WRITE.repeated(1);
    tracker.recordRequest(second);
    tracker.recordResponse(WRITE, response(recordRun(WRITE, "writing", "text")));
    recordRun(second, "writing", "text");
    tracker.recordResponse(second, response(503, "", "later"));
    assertEquals(violatedPromises(), List.of("REFUSED"));
  }

  @Test
  public void deniedRequestIsReported() {
    tracker.recordResponse(READ, response(404, "", "no such route"));
    assertEquals(violatedPromises(), List.of("DENIED"));
  }

  @Test
  public void callerThatWaitedTooLongIsReportedUnlessTheSoakDisturbedIt() {
    tracker.checkWait(READ, 11, 10, LossCause.LINK);
    tracker.checkWait(READ, 11, 10, LossCause.PROCESS);
    tracker.checkWait(READ, 10, 10, LossCause.LIMIT);
    assertEquals(violatedPromises(), List.of());
    tracker.checkWait(READ, 11, 10, LossCause.ENTRY);
    tracker.checkWait(WRITE, 11, 10, LossCause.LIMIT);
    assertEquals(violatedPromises(), List.of("UNANSWERED", "UNANSWERED"));
  }

  @Test
  public void lossesAreCountedByCause() {
    tracker.recordLoss(READ, LossCause.ENTRY);
    tracker.recordLoss(WRITE, LossCause.LINK);
    assertEquals(tracker.countsByLossCause(), Map.of(LossCause.ENTRY, 1, LossCause.LINK, 1));
    assertEquals(tracker.countsByStatus(), Map.of(RequestTracker.LOST, 2L));
  }
}
