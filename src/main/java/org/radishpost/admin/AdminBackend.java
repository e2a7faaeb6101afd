package org.radishpost.admin;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import org.radishpost.config.ConfigChange;
import org.radishpost.config.Configuration;
import org.radishpost.config.PublishResult;
import org.radishpost.events.Event;
import reactor.core.publisher.Mono;

/** What the administration API shows of a VM and may change through it; thread-safe. */
public interface AdminBackend {
  /** Returns the state of the VM now. */
  NodeStatus status();

  /** Returns the configuration in force. */
  Configuration configuration();

  /**
   * Wants a change.
   *
   * @param operationId the operation; the same one again asks for the result of the first
   * @param change the change
   * @return the truthful answer, never an error
   */
  Mono<PublishResult> change(String operationId, ConfigChange change);

  /** Returns the metrics of the VM. */
  MetricRegistry metrics();

  /** Returns the events with a number above the given one that are still kept, oldest first. */
  List<Event> eventsAfter(long sequence);
}
