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
  private static final int POOL_ANSWERS = 256;
  private static final int ROUTE_ANSWERS = 64;
  private static final int MAX_ROUTES = 256;

  private final MovingMean mean = new MovingMean(POOL_ANSWERS);
  private final TypicalTime typical = new TypicalTime(POOL_ANSWERS);
  private final Map<String, TypicalTime> routes = new HashMap<>();

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
    final long scaled = scaled(call, nanos);
    mean.add(nanos);
    if (call.kind() == RequestKind.UPLOAD) {
      return scaled;
    }
    typical.add(nanos);
    if (routes.containsKey(call.route()) || routes.size() < MAX_ROUTES) {
      routes.computeIfAbsent(call.route(), r -> new TypicalTime(ROUTE_ANSWERS)).add(nanos);
    }
    return scaled;
  }

  /** Returns a time as it would be on a route that is typical for the pool. */
  long scaled(CallFacts call, long nanos) {
    long expected = typical.nanos();
    if (call.kind() == RequestKind.UPLOAD) {
      return Math.max(1, expected);
    }
    TypicalTime route = routes.get(call.route());
    if (route == null || expected == 0) {
      return nanos;
    }
    return Math.max(1, (long) (nanos * ((double) expected / route.nanos())));
  }
}
