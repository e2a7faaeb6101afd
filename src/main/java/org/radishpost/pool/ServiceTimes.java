package org.radishpost.pool;

import java.util.HashMap;
import java.util.Map;
import org.radishpost.lib.CallFacts;
import org.radishpost.lib.RequestKind;

/**
 * The times that the targets of a pool take, and what is usual for each route.
 *
 * <p>A target is judged by its times against those of the same route, so that a run of calls that
 * take long by nature does not make it look slow. Uploads are not judged, because their times hang
 * on their bodies and senders.
 */
final class ServiceTimes {
  private static final int POOL_WINDOW_SAMPLES = 256;
  private static final int ROUTE_WINDOW_SAMPLES = 64;
  private static final int MAX_TRACKED_ROUTES = 256;

  private final MovingMean mean = new MovingMean(POOL_WINDOW_SAMPLES);
  private final MovingGeometricMean typical = new MovingGeometricMean(POOL_WINDOW_SAMPLES);
  private final Map<String, MovingGeometricMean> typicalByRoute = new HashMap<>();

  /** Returns the mean time, 0 before the first one. */
  long meanNanos() {
    return mean.value();
  }

  /** Returns the typical time, 0 before the first one. */
  long typicalNanos() {
    return typical.nanos();
  }

  /** Takes a time in, and returns it scaled. */
  long add(CallFacts call, long nanos) {
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

  /** Returns a time as it would be on a route that is typical for the pool. */
  long normalized(CallFacts call, long nanos) {
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
