package org.radishpost.pool;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.radishpost.lib.Endpoint;

/** The targets of one owner's pool, and which of them takes the next call. */
final class TargetSet {
  private final RandomGenerator random;
  private final Map<Endpoint, TargetTracker> byAddress = new LinkedHashMap<>();

  TargetSet(RandomGenerator random) {
    this.random = random;
  }

  Collection<TargetTracker> all() {
    return byAddress.values();
  }

  int size() {
    return byAddress.size();
  }

  /** Returns the target, null when it is not known. */
  TargetTracker get(Endpoint address) {
    return byAddress.get(address);
  }

  void add(TargetTracker tracker) {
    byAddress.put(tracker.address(), tracker);
  }

  void removeDrained() {
    byAddress.values().removeIf(target -> !target.wanted() && target.running() == 0);
  }

  /** Returns the free target that promises the quickest answer. */
  Optional<TargetTracker> chooseFree(long nowNanos, long serviceNanos) {
    TargetTracker best = null;
    int equal = 0;
    for (TargetTracker target : all()) {
      if (!target.mayTake(nowNanos, serviceNanos)) {
        continue;
      }
      int order = best == null ? -1 : Double.compare(target.loadCost(), best.loadCost());
      equal = order < 0 ? 1 : equal;
      if (order < 0 || order == 0 && random.nextInt(++equal) == 0) {
        best = target;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns a target that may take the one call ahead. */
  Optional<TargetTracker> chooseAhead(long nowNanos, long typicalNanos) {
    TargetTracker chosen = null;
    int seen = 0;
    for (TargetTracker target : all()) {
      if (target.mayTakeAhead(nowNanos, typicalNanos) && random.nextInt(++seen) == 0) {
        chosen = target;
      }
    }
    return Optional.ofNullable(chosen);
  }

  boolean anyFree(long nowNanos, long serviceNanos) {
    for (TargetTracker target : all()) {
      if (target.mayTake(nowNanos, serviceNanos)) {
        return true;
      }
    }
    return false;
  }

  int slots(long nowNanos) {
    int slots = 0;
    for (TargetTracker target : all()) {
      slots += target.limit(nowNanos);
    }
    return slots;
  }

  double callsPerSecond(long nowNanos, long serviceNanos) {
    double sum = 0;
    for (TargetTracker target : all()) {
      sum += target.callsPerSecond(nowNanos, serviceNanos);
    }
    return sum;
  }

  int ejected() {
    int count = 0;
    for (TargetTracker target : all()) {
      count += target.state() == TargetState.EJECTED ? 1 : 0;
    }
    return count;
  }

  int usable(long nowNanos) {
    int count = 0;
    for (TargetTracker target : all()) {
      count += target.limit(nowNanos) > 0 ? 1 : 0;
    }
    return count;
  }
}
