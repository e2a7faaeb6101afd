package org.radishpost.pool;

/**
 * Says when one owner may probe one target.
 *
 * <p>An owner waits for twice the interval before its first probe and between two of them. Two
 * owners together therefore stay within one probe in each interval, however often owners start
 * anew.
 */
final class ProbeSchedule {
  private final int concurrentOwners;
  private long lastProbeNanos;

  ProbeSchedule(int concurrentOwners, long nowNanos) {
    this.concurrentOwners = concurrentOwners;
    lastProbeNanos = nowNanos;
  }

  boolean isDue(long nowNanos, long lastReportNanos, long intervalNanos) {
    long minGapNanos = concurrentOwners * intervalNanos;
    return nowNanos - lastProbeNanos >= minGapNanos && nowNanos - lastReportNanos >= minGapNanos;
  }

  void probeSent(long nowNanos) {
    lastProbeNanos = nowNanos;
  }
}
