package org.radishpost.admin;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import org.radishpost.config.ConfigChange;
import org.radishpost.config.Configuration;
import org.radishpost.config.PublishResult;
import org.radishpost.events.Event;
import reactor.core.publisher.Mono;

/** Gives the administration API access to the VM that it runs on; thread-safe. */
public interface AdminBackend {
  /** Returns the current state of the VM. */
  NodeStatus status();

  /** Returns the current configuration. */
  Configuration configuration();

  /**
   * Requests a change of the configuration.
   *
   * @param operationId the operation ID; a repeated request with the same ID gets the result of the
   *     first one
   * @param change the change
   * @return the result, which is {@link PublishResult.Unknown} if the outcome cannot be determined;
   *     never an error signal
   */
  Mono<PublishResult> change(String operationId, ConfigChange change);

  /** Returns the metrics of the VM. */
  MetricRegistry metrics();

  /** Returns the retained events with a sequence number above the given one, oldest first. */
  List<Event> eventsAfter(long sequence);
}
