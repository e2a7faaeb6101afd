package org.radishpost.config;

import java.time.Duration;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Provides the current configuration of this VM and publishes changes to it; thread-safe. */
public interface ConfigService {
  /** Returns the current configuration. */
  Configuration current();

  /** Emits the current configuration and then each new one; the version never decreases. */
  Flux<Configuration> changes();

  /**
   * Publishes a change.
   *
   * @param operationId the ID of the operation; a call with a known ID returns the result of that
   *     operation
   * @param change the change
   * @param timeout the time after which the result is {@link PublishResult.Unknown}
   * @return the result; never signals an error
   */
  Mono<PublishResult> publish(String operationId, ConfigChange change, Duration timeout);

  /** Returns whether this VM has caught up with the newest known version at least once. */
  boolean caughtUp();
}
