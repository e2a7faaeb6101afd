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

  /** Takes a time in, and returns it as it would be on a route that is typical for the pool. */
  long add(CallFacts call, long nanos) {
    mean.add(nanos);
    if (call.kind() == RequestKind.UPLOAD) {
      return Math.max(1, typical.nanos());
    }
    TypicalTime route = routes.get(call.route());
    if (route == null && routes.size() < MAX_ROUTES) {
      route = new TypicalTime(ROUTE_ANSWERS);
      routes.put(call.route(), route);
    }
    double usual = route == null ? typical.nanos() : route.nanos();
    double scaled = usual == 0 || typical.nanos() == 0 ? nanos : nanos * (typical.nanos() / usual);
    typical.add(nanos);
    if (route != null) {
      route.add(nanos);
    }
    return Math.max(1, (long) scaled);
  }
}
