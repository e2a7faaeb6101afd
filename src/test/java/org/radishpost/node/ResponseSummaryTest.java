package org.radishpost.node;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.http.SurplusResponse;
import org.radishpost.lib.Endpoint;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the events for targets that send faulty responses. */
public class ResponseSummaryTest {
  private static final Endpoint FIRST = new Endpoint("127.0.0.1", 1);
  private static final Endpoint SECOND = new Endpoint("127.0.0.1", 2);

  private final List<List<EventField>> emitted = new ArrayList<>();
  private final ResponseSummary<SurplusResponse> summary =
      new ResponseSummary<>(
          SurplusResponse.class,
          EventCode.TARGET_SURPLUS,
          "moments",
          address -> "i-" + address.port(),
          (code, fields) -> emitted.add(Arrays.asList(fields)));

  /** Removes the events of earlier tests. */
  @BeforeMethod
  public void clearEvents() {
    emitted.clear();
  }

  private void endInterval() {
    for (int i = 0; i < ResponseSummary.TICKS_PER_SUMMARY; i++) {
      summary.tick();
    }
  }

  @Test
  public void eachTargetIsReportedOnceInAnInterval() {
    summary.record(FIRST, SurplusResponse.IDLE_WITH_ID);
    summary.record(SECOND, SurplusResponse.WITHIN_BODY);
    summary.record(FIRST, SurplusResponse.IDLE_WITH_ID);
    summary.record(FIRST, SurplusResponse.WAITING_WITHOUT_ID);
    endInterval();
    endInterval();
    assertEquals(
        emitted,
        List.of(
            report("i-1", 3, "{IDLE_WITH_ID=2, WAITING_WITHOUT_ID=1}"),
            report("i-2", 1, "{WITHIN_BODY=1}")));
  }

  @Test
  public void numberOfTargetsInAnIntervalIsLimited() {
    for (int port = 1; port <= 2 * ResponseSummary.MAX_SENDERS; port++) {
      summary.record(new Endpoint("127.0.0.1", port), SurplusResponse.IDLE_WITH_ID);
    }
    endInterval();
    assertEquals(emitted.size(), ResponseSummary.MAX_SENDERS);
  }

  private static List<EventField> report(String target, int responses, String moments) {
    return List.of(
        EventField.of("target", target),
        EventField.of("responses", responses),
        EventField.of("moments", moments));
  }
}
