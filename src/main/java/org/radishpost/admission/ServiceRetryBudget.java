package org.radishpost.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import org.radishpost.lib.ServiceName;

/**
 * One VM's share of the retries that a service bears from all VMs together.
 *
 * <p>Each service has a token bucket: each call adds a part of a retry, each retry takes a whole
 * one. The reserve is small enough that the reserves of all VMs stay within what the service bears
 * beyond the part, so that no VM needs to know of the others. Confined to one thread.
 */
public final class ServiceRetryBudget {
  private final DoubleSupplier retriesPerCall;
  private final double capacityRetries;
  private final Map<ServiceName, Double> tokensByService = new HashMap<>();

  /**
   * Creates it with the reserves full.
   *
   * @param retriesPerCall the retries that each call earns
   * @param capacityRetries the most retries that are saved up for one service
   */
  public ServiceRetryBudget(DoubleSupplier retriesPerCall, double capacityRetries) {
    this.retriesPerCall = retriesPerCall;
    this.capacityRetries = capacityRetries;
  }

  /** Takes note of a call for the service. */
  public void recordCall(ServiceName service) {
    tokensByService.merge(
        service,
        capacityRetries,
        (tokens, capacity) -> Math.min(capacity, tokens + retriesPerCall.getAsDouble()));
  }

  /** Takes a retry out of the share; tells whether there was one. */
  public boolean tryAcquire(ServiceName service) {
    double tokens = tokensByService.getOrDefault(service, capacityRetries);
    if (tokens < 1) {
      return false;
    }
    tokensByService.put(service, tokens - 1);
    return true;
  }
}
