package org.radishpost.node;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.radishpost.http.Readiness;

/**
 * Whether an entry takes requests: when it knows the configuration and the targets, until it stops.
 *
 * <p>After the request to stop it is no longer ready, but it serves on until the balancer has taken
 * it out. Confined to one thread.
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
    return stopping ? "This VM is about to stop." : missingState().orElse("");
  }

  private Optional<String> missingState() {
    if (!configurationKnown.getAsBoolean()) {
      return Optional.of("No configuration is known yet.");
    }
    if (!targetsKnown.getAsBoolean()) {
      return Optional.of("The targets are not known yet.");
    }
    return Optional.empty();
  }
}
