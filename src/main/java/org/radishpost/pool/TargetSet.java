package org.radishpost.pool;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.radishpost.lib.Endpoint;

/** The targets of an owner's pool. Chooses the target of the next call. */
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

  /** Returns the target with the address, or null if there is none. */
  TargetTracker get(Endpoint address) {
    return byAddress.get(address);
  }

  void add(TargetTracker tracker) {
    byAddress.put(tracker.address(), tracker);
  }

  void removeDrained() {
    byAddress.values().removeIf(target -> !target.isConfigured() && target.running() == 0);
  }

  /**
   * Returns the available target with the lowest load cost, or empty if none is available. Chooses
   * at random between targets of equal cost.
   */
  Optional<TargetTracker> chooseAvailable(long nowNanos, long serviceNanos) {
    TargetTracker best = null;
    int ties = 0;
    for (TargetTracker target : all()) {
      if (!target.isAvailable(nowNanos, serviceNanos)) {
        continue;
      }
      int order = best == null ? -1 : Double.compare(target.loadCost(), best.loadCost());
      ties = order < 0 ? 1 : ties;
      if (order < 0 || order == 0 && random.nextInt(++ties) == 0) {
        best = target;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns a random target that may receive an extra call, or empty if there is none. */
  Optional<TargetTracker> chooseForExtraCall(long nowNanos, long typicalNanos) {
    TargetTracker chosen = null;
    int candidates = 0;
    for (TargetTracker target : all()) {
      if (target.mayTakeExtraCall(nowNanos, typicalNanos) && random.nextInt(++candidates) == 0) {
        chosen = target;
      }
    }
    return Optional.ofNullable(chosen);
  }

  boolean isAnyAvailable(long nowNanos, long serviceNanos) {
    for (TargetTracker target : all()) {
      if (target.isAvailable(nowNanos, serviceNanos)) {
        return true;
      }
    }
    return false;
  }

  int availableSlots(long nowNanos) {
    int slots = 0;
    for (TargetTracker target : all()) {
      slots += target.concurrencyLimit(nowNanos);
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

  int ejectedCount() {
    int count = 0;
    for (TargetTracker target : all()) {
      count += target.state() == TargetState.EJECTED ? 1 : 0;
    }
    return count;
  }

  int usableCount(long nowNanos) {
    int count = 0;
    for (TargetTracker target : all()) {
      count += target.concurrencyLimit(nowNanos) > 0 ? 1 : 0;
    }
    return count;
  }
}
