package review3;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The platform's balancer: asks each entry once a second whether it is ready. */
final class Balancer {
  private static final long INTERVAL_MILLIS = 1_000;
  private static final int MAX_MISSES = 2;

  private final Lab lab;
  private final Set<Entry> out = ConcurrentHashMap.newKeySet();
  private final Map<Entry, Integer> misses = new HashMap<>();

  Balancer(Lab lab) {
    this.lab = lab;
  }

  void start() {
    Thread.ofVirtual().start(this::askAll);
  }

  /** Returns the entry of a client's zone, or another one while that is out of rotation. */
  Entry entryFor(Entry ofZone) {
    if (!out.contains(ofZone)) {
      return ofZone;
    }
    return lab.entries.stream().filter(entry -> !out.contains(entry)).findFirst().orElse(ofZone);
  }

  private void askAll() {
    try {
      while (true) {
        for (Entry entry : lab.entries) {
          ask(entry);
        }
        Thread.sleep(INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void ask(Entry entry) {
    int count = entry.ready() ? 0 : misses.getOrDefault(entry, 0) + 1;
    misses.put(entry, count);
    if (count >= MAX_MISSES && out.add(entry)) {
      lab.record.line("balancer takes %s out of rotation", entry.name);
    } else if (count == 0 && out.remove(entry)) {
      lab.record.line("balancer takes %s back", entry.name);
    }
  }
}
