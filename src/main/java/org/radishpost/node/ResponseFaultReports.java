package org.radishpost.node;

import java.util.function.Function;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventSink;
import org.radishpost.http.MessageFault;
import org.radishpost.http.ResponseCounters;
import org.radishpost.http.SurplusResponse;
import org.radishpost.lib.Endpoint;

/** Reports the targets that send faulty responses as events. Confined to one thread. */
final class ResponseFaultReports {
  private final ResponseSummary<SurplusResponse> surplus;
  private final ResponseSummary<MessageFault> malformed;

  /**
   * Creates the reports of the responses that are counted from now on.
   *
   * @param counters counts the responses of targets
   * @param targetName returns the name of the target at an address
   * @param events receives the events
   */
  ResponseFaultReports(
      ResponseCounters counters, Function<Endpoint, String> targetName, EventSink events) {
    surplus =
        new ResponseSummary<>(
            SurplusResponse.class, EventCode.TARGET_SURPLUS, "moments", targetName, events);
    malformed =
        new ResponseSummary<>(
            MessageFault.class, EventCode.TARGET_MALFORMED, "reasons", targetName, events);
    counters.received().subscribe(response -> surplus.record(response.sender(), response.moment()));
    counters
        .receivedMalformed()
        .subscribe(response -> malformed.record(response.sender(), response.reason()));
  }

  /** Records a tick, some of which end an interval. */
  void tick() {
    surplus.tick();
    malformed.tick();
  }
}
