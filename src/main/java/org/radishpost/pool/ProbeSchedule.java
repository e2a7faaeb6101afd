package org.radishpost.pool;

/**
 * Decides when one owner may send a load probe to one target.
 *
 * <p>An owner waits for the probe interval multiplied by the number of concurrent owners: before
 * its first probe, after each probe and after each response of the target. All owners together
 * therefore send at most one probe per interval, even if owners restart often.
 */
final class ProbeSchedule {
  private final int concurrentOwners;
  private long lastProbeNanos;

  ProbeSchedule(int concurrentOwners, long nowNanos) {
    this.concurrentOwners = concurrentOwners;
    lastProbeNanos = nowNanos;
  }

  boolean isDue(long nowNanos, long lastResponseNanos, long intervalNanos) {
    long minGapNanos = concurrentOwners * intervalNanos;
    return nowNanos - lastProbeNanos >= minGapNanos && nowNanos - lastResponseNanos >= minGapNanos;
  }

  void recordProbe(long nowNanos) {
    lastProbeNanos = nowNanos;
  }
}
