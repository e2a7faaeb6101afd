package org.radishpost.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import org.radishpost.lib.ServiceName;

/**
 * Limits the retries that one VM sends to each service, so that the retries of all VMs together
 * stay within what the service tolerates.
 *
 * <p>Each service has a token bucket: each call adds a fraction of a token, each retry takes a
 * whole token. The capacity must be so small that the full buckets of all VMs together stay within
 * the fixed number of retries that the service tolerates in addition to that fraction of its calls.
 * The VMs then need no coordination. Not thread-safe.
 */
public final class ServiceRetryBudget {
  private final DoubleSupplier retriesPerCall;
  private final double capacityRetries;
  private final Map<ServiceName, Double> tokensByService = new HashMap<>();

  /**
   * Creates a budget whose buckets are full.
   *
   * @param retriesPerCall the number of retries that each call adds, usually a fraction
   * @param capacityRetries the capacity of the bucket of one service, in retries
   */
  public ServiceRetryBudget(DoubleSupplier retriesPerCall, double capacityRetries) {
    this.retriesPerCall = retriesPerCall;
    this.capacityRetries = capacityRetries;
  }

  /** Records a call to the service. */
  public void recordCall(ServiceName service) {
    tokensByService.merge(
        service,
        capacityRetries,
        (tokens, capacity) -> Math.min(capacity, tokens + retriesPerCall.getAsDouble()));
  }

  /** Takes one retry from the budget of the service and returns whether one was available. */
  public boolean tryAcquire(ServiceName service) {
    double tokens = tokensByService.getOrDefault(service, capacityRetries);
    if (tokens < 1) {
      return false;
    }
    tokensByService.put(service, tokens - 1);
    return true;
  }
}
