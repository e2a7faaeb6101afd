package org.radishpost.node;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.radishpost.http.Readiness;

/**
 * The readiness of an entry: it accepts requests from the time at which it knows the configuration
 * and the targets until it is closed.
 *
 * <p>While it is stopping, it reports that it is not ready, but continues to serve until the load
 * balancer has stopped sending requests to it. Confined to one thread.
 */
final class EntryReadiness implements Readiness {
  private final BooleanSupplier configurationKnown;
  private final BooleanSupplier targetsKnown;
  private boolean stopping;
  private boolean closed;

  EntryReadiness(BooleanSupplier configurationKnown, BooleanSupplier targetsKnown) {
    this.configurationKnown = configurationKnown;
    this.targetsKnown = targetsKnown;
  }

  void markStopping() {
    stopping = true;
  }

  void markClosed() {
    closed = true;
  }

  @Override
  public boolean ready() {
    return !stopping && servesRequests();
  }

  @Override
  public boolean servesRequests() {
    return !closed && missingState().isEmpty();
  }

  @Override
  public boolean allowsKeepAlive() {
    return !stopping;
  }

  @Override
  public String notReadyReason() {
    return stopping ? "This VM is shutting down." : missingState().orElse("");
  }

  private Optional<String> missingState() {
    if (!configurationKnown.getAsBoolean()) {
      return Optional.of("No configuration has been received yet.");
    }
    if (!targetsKnown.getAsBoolean()) {
      return Optional.of("The targets have not been received yet.");
    }
    return Optional.empty();
  }
}
