package org.radishpost.pool;

import java.util.HashMap;
import java.util.Map;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.RequestKind;

/**
 * The service times of a pool, and the typical service time of each route.
 *
 * <p>The service times of a target are compared with the typical time of the same route, so that
 * several calls on a slow route in a row do not make the target appear slow. Uploads are excluded,
 * because their service times depend on the size of the body and on the sender.
 */
final class ServiceTimes {
  private static final int POOL_WINDOW_SAMPLES = 256;
  private static final int ROUTE_WINDOW_SAMPLES = 64;
  private static final int MAX_TRACKED_ROUTES = 256;

  private final MovingMean mean = new MovingMean(POOL_WINDOW_SAMPLES);
  private final MovingGeometricMean typical = new MovingGeometricMean(POOL_WINDOW_SAMPLES);
  private final Map<String, MovingGeometricMean> typicalByRoute = new HashMap<>();

  /** Returns the mean service time, or 0 if none has been added. */
  long meanNanos() {
    return mean.value();
  }

  /** Returns the typical service time, or 0 if none has been added. */
  long typicalNanos() {
    return typical.nanos();
  }

  /** Adds a service time and returns it normalized as by {@link #normalized}. */
  long add(CallInfo call, long nanos) {
    final long normalizedNanos = normalized(call, nanos);
    mean.add(nanos);
    if (call.kind() == RequestKind.UPLOAD) {
      return normalizedNanos;
    }
    typical.add(nanos);
    if (typicalByRoute.containsKey(call.route()) || typicalByRoute.size() < MAX_TRACKED_ROUTES) {
      typicalByRoute
          .computeIfAbsent(call.route(), r -> new MovingGeometricMean(ROUTE_WINDOW_SAMPLES))
          .add(nanos);
    }
    return normalizedNanos;
  }

  /**
   * Normalizes a service time: scales it by the ratio of the typical time of the pool to the
   * typical time of the route. Returns the typical time of the pool for an upload.
   */
  long normalized(CallInfo call, long nanos) {
    long poolTypicalNanos = typical.nanos();
    if (call.kind() == RequestKind.UPLOAD) {
      return Math.max(1, poolTypicalNanos);
    }
    MovingGeometricMean route = typicalByRoute.get(call.route());
    if (route == null || poolTypicalNanos == 0) {
      return nanos;
    }
    return Math.max(1, (long) (nanos * ((double) poolTypicalNanos / route.nanos())));
  }
}
