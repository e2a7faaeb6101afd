package org.radishpost.node;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.lib.Endpoint;

/**
 * Emits an event for each target that has sent faulty responses of one kind, once in an interval.
 * Confined to one thread.
 *
 * @param <K> what tells the faulty responses apart
 */
final class ResponseSummary<K extends Enum<K>> {
  static final int TICKS_PER_SUMMARY = 20;
  static final int MAX_SENDERS = 16;

  private final Class<K> kinds;
  private final EventCode code;
  private final String kindsField;
  private final Function<Endpoint, String> targetName;
  private final EventSink events;
  private final Map<Endpoint, Map<K, Integer>> counts = new LinkedHashMap<>();
  private int ticks;

  /**
   * Creates a summary of no responses.
   *
   * @param kinds what tells the faulty responses apart
   * @param code the code of the events
   * @param kindsField the name of the field with the number of responses of each kind
   * @param targetName returns the name of the target at an address
   * @param events receives the events
   */
  ResponseSummary(
      Class<K> kinds,
      EventCode code,
      String kindsField,
      Function<Endpoint, String> targetName,
      EventSink events) {
    this.kinds = kinds;
    this.code = code;
    this.kindsField = kindsField;
    this.targetName = targetName;
    this.events = events;
  }

  /** Records a response; of an interval, only those of the first senders are reported. */
  void record(Endpoint sender, K kind) {
    if (counts.size() < MAX_SENDERS || counts.containsKey(sender)) {
      counts.computeIfAbsent(sender, unknown -> new EnumMap<>(kinds)).merge(kind, 1, Integer::sum);
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

  private void emit(Endpoint sender, Map<K, Integer> countsByKind) {
    events.emit(
        code,
        EventField.of("target", targetName.apply(sender)),
        EventField.of(
            "responses", countsByKind.values().stream().mapToInt(Integer::intValue).sum()),
        EventField.of(kindsField, countsByKind));
  }
}
