package org.radishpost.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;

/** The state and the counters of one target in a scenario. */
final class ScenarioTarget {
  static final int SLOTS = 3;
  static final int MAX_COLD_CALLS = 2;
  static final long WARM_UP_MILLIS = 2_000;

  final Endpoint address;
  final Place place;
  final Map<String, Integer> runs = new HashMap<>();
  int incarnation = 1;
  long warmAtMillis;
  double slowFactor = 1;
  boolean failFast;
  boolean silent;
  boolean down;
  boolean draining;
  String crashMarker = "";
  int running;
  int maxRunningWhileCold;
  int probes;
  int crashes;
  long lastWorkMillis = -1;
  long restartedAtMillis;
  final List<Runnable> resetActions = new ArrayList<>();

  ScenarioTarget(Endpoint address, Place place) {
    this.address = address;
    this.place = place;
  }

  boolean isCold(long nowMillis) {
    return nowMillis < warmAtMillis;
  }

  /** Restarts the target, which is cold again; its connections are reset. */
  void restart(long nowMillis) {
    incarnation++;
    restartedAtMillis = nowMillis;
    warmAtMillis = nowMillis + WARM_UP_MILLIS;
    running = 0;
    List<Runnable> pendingResets = List.copyOf(resetActions);
    resetActions.clear();
    pendingResets.forEach(Runnable::run);
  }

  /**
   * Returns whether a call that arrives now was sent before the sender could detect the restart.
   */
  boolean resetsCall(long nowMillis, long latencyMillis) {
    return restartedAtMillis > 0 && nowMillis - restartedAtMillis <= 2 * latencyMillis;
  }

  /** Starts a call unless the target is draining; returns whether the call was shed. */
  boolean shedsCall(long nowMillis) {
    if (draining) {
      return true;
    }
    running++;
    lastWorkMillis = nowMillis;
    if (isCold(nowMillis)) {
      maxRunningWhileCold = Math.max(maxRunningWhileCold, running);
    }
    return false;
  }
}
