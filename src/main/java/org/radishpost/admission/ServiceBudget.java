package org.radishpost.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import org.radishpost.lib.ServiceName;

/**
 * Limits the requests that one VM sends to each service in addition to its calls, such as retries
 * or load probes, so that those of all VMs together stay within what the service tolerates.
 *
 * <p>Each service has a token bucket: each call adds a fixed number of tokens, usually a fraction,
 * and each additional request takes a whole token. The capacity must be so small that the full
 * buckets of all VMs together stay within the fixed number of requests that the service tolerates
 * in addition to that share of its calls. The VMs then need no coordination. Not thread-safe.
 */
public final class ServiceBudget {
  private final DoubleSupplier requestsPerCall;
  private final double capacity;
  private final Map<ServiceName, Double> tokensByService = new HashMap<>();

  /**
   * Creates a budget whose buckets are full.
   *
   * @param requestsPerCall the number of additional requests that each call allows
   * @param capacity the capacity of the bucket of one service, in requests
   */
  public ServiceBudget(DoubleSupplier requestsPerCall, double capacity) {
    this.requestsPerCall = requestsPerCall;
    this.capacity = capacity;
  }

  /** Records a call to the service. */
  public void recordCall(ServiceName service) {
    tokensByService.merge(
        service,
        capacity,
        (tokens, limit) -> Math.min(limit, tokens + requestsPerCall.getAsDouble()));
  }

  /** Takes one request from the budget of the service and returns whether one was available. */
  public boolean tryAcquire(ServiceName service) {
    double tokens = tokensByService.getOrDefault(service, capacity);
    if (tokens < 1) {
      return false;
    }
    tokensByService.put(service, tokens - 1);
    return true;
  }
}
