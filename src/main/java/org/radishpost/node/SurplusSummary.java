package org.radishpost.node;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.http.ReceivedSurplus;
import org.radishpost.http.SurplusResponse;
import org.radishpost.lib.Endpoint;

/**
 * Emits an event for each target that has sent responses that no request waited for, once in an
 * interval. Confined to one thread.
 */
final class SurplusSummary {
  static final int TICKS_PER_SUMMARY = 20;
  static final int MAX_SENDERS = 16;

  private final Function<Endpoint, String> targetName;
  private final EventSink events;
  private final Map<Endpoint, Map<SurplusResponse, Integer>> counts = new LinkedHashMap<>();
  private int ticks;

  /**
   * Creates a summary of no responses.
   *
   * @param targetName returns the name of the target at an address
   * @param events receives the events
   */
  SurplusSummary(Function<Endpoint, String> targetName, EventSink events) {
    this.targetName = targetName;
    this.events = events;
  }

  /** Records a response; of an interval, only those of the first senders are reported. */
  void record(ReceivedSurplus surplus) {
    if (counts.size() < MAX_SENDERS || counts.containsKey(surplus.sender())) {
      counts
          .computeIfAbsent(surplus.sender(), sender -> new EnumMap<>(SurplusResponse.class))
          .merge(surplus.moment(), 1, Integer::sum);
    }
  }

  /** Records a tick; each {@value #TICKS_PER_SUMMARY}th one ends an interval. */
  void tick() {
    ticks++;
    if (ticks == TICKS_PER_SUMMARY) {
      counts.forEach(this::emit);
      counts.clear();
      ticks = 0;
    }
  }

  private void emit(Endpoint sender, Map<SurplusResponse, Integer> moments) {
    events.emit(
        EventCode.TARGET_SURPLUS,
        EventField.of("target", targetName.apply(sender)),
        EventField.of("responses", moments.values().stream().mapToInt(Integer::intValue).sum()),
        EventField.of("moments", moments));
  }
}
