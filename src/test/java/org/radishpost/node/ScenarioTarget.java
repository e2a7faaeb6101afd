package org.radishpost.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;

/** The state of one target in a scenario, and what it has seen. */
final class ScenarioTarget {
  static final int SLOTS = 3;
  static final int COLD_CALLS = 2;
  static final long WARM_MILLIS = 2_000;

  final Endpoint address;
  final Place place;
  final Map<String, Integer> runs = new HashMap<>();
  int incarnation = 1;
  long warmFromMillis;
  double slowFactor = 1;
  boolean failFast;
  boolean silent;
  boolean down;
  boolean draining;
  String crashMarker = "";
  int running;
  int mostWhileCold;
  int probes;
  int crashes;
  long lastWorkMillis = -1;
  long restartMillis;
  final List<Runnable> onReset = new ArrayList<>();

  ScenarioTarget(Endpoint address, Place place) {
    this.address = address;
    this.place = place;
  }

  boolean cold(long nowMillis) {
    return nowMillis < warmFromMillis;
  }

  /** Starts anew, cold; its connections are reset. */
  void restart(long nowMillis) {
    incarnation++;
    restartMillis = nowMillis;
    warmFromMillis = nowMillis + WARM_MILLIS;
    running = 0;
    List<Runnable> broken = List.copyOf(onReset);
    onReset.clear();
    broken.forEach(Runnable::run);
  }

  /** Tells whether a call that arrives now was sent before its sender heard of the restart. */
  boolean resets(long nowMillis, long wayMillis) {
    return restartMillis > 0 && nowMillis - restartMillis <= 2 * wayMillis;
  }

  /** Takes a call in; tells whether the target shed it. */
  boolean sheds(long nowMillis) {
    if (draining) {
      return true;
    }
    running++;
    lastWorkMillis = nowMillis;
    if (cold(nowMillis)) {
      mostWhileCold = Math.max(mostWhileCold, running);
    }
    return false;
  }
}
