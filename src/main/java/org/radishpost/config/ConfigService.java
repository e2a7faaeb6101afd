package org.radishpost.config;

import java.time.Duration;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** The configuration in force on this VM, and the way to change it; thread-safe. */
public interface ConfigService {
  /** Returns what is in force now. */
  Configuration current();

  /** Emits what is in force, at once and at every change; versions never fall. */
  Flux<Configuration> changes();

  /**
   * Publishes a change.
   *
   * @param operationId the operation; the same one again asks for the result of the first
   * @param change the change
   * @param timeout the longest wait, after which the answer is {@link PublishResult.Unknown}
   * @return the answer, never an error
   */
  Mono<PublishResult> publish(String operationId, ConfigChange change, Duration timeout);

  /** Tells whether this VM knows a configuration at least as new as any it was told of. */
  boolean caughtUp();
}
