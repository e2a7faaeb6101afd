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
public final class RetryShare {
  private final DoubleSupplier perCall;
  private final double reserve;
  private final Map<ServiceName, Double> left = new HashMap<>();

  /**
   * Creates it with the reserves full.
   *
   * @param perCall the retries that each call earns
   * @param reserve the most retries that are saved up for one service
   */
  public RetryShare(DoubleSupplier perCall, double reserve) {
    this.perCall = perCall;
    this.reserve = reserve;
  }

  /** Takes note of a call for the service. */
  public void called(ServiceName service) {
    left.merge(service, reserve, (had, full) -> Math.min(full, had + perCall.getAsDouble()));
  }

  /** Takes a retry out of the share; tells whether there was one. */
  public boolean take(ServiceName service) {
    double had = left.getOrDefault(service, reserve);
    if (had < 1) {
      return false;
    }
    left.put(service, had - 1);
    return true;
  }
}
