package org.radishpost.node;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.radishpost.events.Event;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.events.HybridClock;
import org.radishpost.events.Timeline;
import org.radishpost.lib.VmId;

/** Writes events to the log and to the timeline of this VM, and counts them; thread-safe. */
final class EventLog implements EventSink {
  private static final Logger LOG = LogManager.getLogger("radishpost");

  private final VmId vm;
  private final HybridClock clock;
  private final Timeline timeline;
  private final NodeMetrics metrics;
  private final AtomicLong sequence = new AtomicLong();

  EventLog(VmId vm, HybridClock clock, Timeline timeline, NodeMetrics metrics) {
    this.vm = vm;
    this.clock = clock;
    this.timeline = timeline;
    this.metrics = metrics;
  }

  @Override
  public void emit(EventCode code, EventField... fields) {
    Event event = new Event(clock.next(), vm, sequence.incrementAndGet(), code, List.of(fields));
    timeline.add(event);
    metrics.countEvent(code);
    Level level = level(code.level());
    if (LOG.isEnabled(level)) {
      LOG.log(level, message(event));
    }
  }

  private static StringMapMessage message(Event event) {
    StringMapMessage message = new StringMapMessage();
    message.put("event", String.valueOf(event.code().number()));
    message.put("name", event.code().name());
    message.put("vm", event.vm().value());
    message.put("stamp", event.timestamp().format());
    event.fields().forEach(field -> message.put(field.name(), field.value()));
    return message;
  }

  private static Level level(EventCode.Level level) {
    return switch (level) {
      case DEBUG -> Level.DEBUG;
      case INFO -> Level.INFO;
      case WARN -> Level.WARN;
      case ERROR -> Level.ERROR;
    };
  }
}
