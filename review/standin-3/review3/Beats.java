package review3;

/** Writes the entries of sound upstreams to the store, one each heartbeat interval. */
final class Beats {
  static final long INTERVAL_MILLIS = 1_500;

  private Beats() {}

  /** Registers an upstream and renews its entry until it leaves or its process has ended. */
  static void start(Lab lab, Upstream upstream) {
    lab.store.put(Upstream.TOPIC, upstream.id, upstream.entry("ready"));
    Thread.ofVirtual().start(() -> renew(lab, upstream));
  }

  private static void renew(Lab lab, Upstream upstream) {
    try {
      while (true) {
        Thread.sleep(INTERVAL_MILLIS);
        if (upstream.left) {
          return;
        }
        lab.store.put(Upstream.TOPIC, upstream.id, upstream.entry("ready"));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
