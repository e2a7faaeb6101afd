package org.radishpost.soak;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What the ledger takes for a broken promise. */
public class LedgerTest {
  private static final Ledger.Request READ =
      new Ledger.Request("r-1", "e-0", "GET", "/reads/r-1", true, "reading", "");
  private static final Ledger.Request WRITE =
      new Ledger.Request("w-1", "e-0", "POST", "/writes/w-1", false, "writing", "text");

  private Ledger ledger;

  /** Starts with a read and a write that were sent. */
  @BeforeMethod
  public void start() {
    ledger = new Ledger();
    ledger.sent(READ);
    ledger.sent(WRITE);
  }

  private void runs(Ledger.Request request, String service, String body) {
    ledger.ran(
        request.id(),
        new Ledger.Run("i-1", service, request.method(), request.path(), body, System.nanoTime()));
  }

  private List<String> broken() {
    return ledger.violations(Fleet.MAX_ATTEMPTS).stream().map(Violation::promise).toList();
  }

  private static HttpText.Message answer(int status, String proof, String body) {
    return new HttpText.Message(
        "HTTP/1.1 " + status + " Said",
        Map.of("x-upstream-signature", proof, "x-instance-id", "i-1"),
        body.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  public void retriedReadAndAnsweredWriteBreakNothing() {
    runs(READ, "reading", "");
    runs(READ, "reading", "");
    runs(WRITE, "writing", "text");
    ledger.answered(READ, answer(200, "proof-of-r-1", SoakTarget.body("i-1", "r-1")));
    ledger.answered(WRITE, answer(500, "proof-of-w-1", SoakTarget.FAILURE));
    assertEquals(broken(), List.of());
  }

  @Test
  public void refusedWriteThatDidNotRunBreaksNothing() {
    ledger.answered(WRITE, answer(503, "", "later"));
    assertEquals(broken(), List.of());
  }

  @Test
  public void writeThatRunsTwice() {
    runs(WRITE, "writing", "text");
    runs(WRITE, "writing", "text");
    assertEquals(broken(), List.of("TWICE"));
  }

  @Test
  public void refusedWriteThatRan() {
    runs(WRITE, "writing", "text");
    ledger.answered(WRITE, answer(429, "", "later"));
    assertEquals(broken(), List.of("REFUSED"));
  }

  @Test
  public void readThatRunsMoreOftenThanItsRouteAllows() {
    for (int i = 0; i <= Fleet.MAX_ATTEMPTS; i++) {
      runs(READ, "reading", "");
    }
    assertEquals(broken(), List.of("BUDGET"));
  }

  @Test
  public void changedBodyAndUnknownRequest() {
    runs(WRITE, "writing", "tex");
    runs(new Ledger.Request("x-1", "", "GET", "/", true, "reading", ""), "reading", "");
    assertEquals(broken(), List.of("UNASKED", "UNASKED"));
  }

  @Test
  public void requestAtAnotherService() {
    runs(READ, "writing", "");
    assertEquals(broken(), List.of("ROUTE"));
  }

  @Test
  public void answerOfAnotherRequestOrCutShort() {
    ledger.answered(READ, answer(200, "proof-of-w-1", SoakTarget.body("i-1", "r-1")));
    String whole = SoakTarget.body("i-1", "r-1");
    ledger.answered(READ, answer(200, "proof-of-r-1", whole.substring(1)));
    assertEquals(broken(), List.of("MIXED", "MIXED"));
  }

  @Test
  public void deniedRoute() {
    ledger.answered(READ, answer(404, "", "no such route"));
    assertEquals(broken(), List.of("DENIED"));
  }
}
