package org.radishpost.pool;

/**
 * Says when one owner may probe one target.
 *
 * <p>An owner waits for twice the interval before its first probe and between two of them. Two
 * owners together therefore stay within one probe in each interval, however often owners start
 * anew.
 */
final class ProbeClock {
  private final int owners;
  private long lastNanos;

  ProbeClock(int owners, long nowNanos) {
    this.owners = owners;
    lastNanos = nowNanos;
  }

  boolean due(long nowNanos, long lastToldNanos, long intervalNanos) {
    long gapNanos = owners * intervalNanos;
    return nowNanos - lastNanos >= gapNanos && nowNanos - lastToldNanos >= gapNanos;
  }

  void probed(long nowNanos) {
    lastNanos = nowNanos;
  }
}
