package org.radishpost.link;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Random;
import org.testng.annotations.Test;

/** Heartbeat timeouts, reconnect backoff and the replay window, without I/O. */
public class LinkHealthTest {
  private static final long HEARTBEAT_NANOS = LinkOptions.DEFAULT.heartbeatInterval().toNanos();

  @Test
  public void pauseOfThisProcessTimesOutNoPeer() {
    LinkHealth health = new LinkHealth(LinkOptions.DEFAULT, 0);
    health.nextHeartbeat(0, 1);
    assertEquals(health.tick(HEARTBEAT_NANOS, 1), LinkHealth.TickResult.HEARTBEAT_DUE);
    health.nextHeartbeat(HEARTBEAT_NANOS, 1);
    long resumeNanos = Duration.ofSeconds(30).toNanos();
    assertEquals(
        health.tick(resumeNanos, 1),
        LinkHealth.TickResult.HEARTBEAT_DUE,
        "sends a heartbeat before it times out the peer");
    health.receive(new HeartbeatBody(1, 2, false, 1), resumeNanos + 1, 1);
    for (int intervals = 1; intervals <= 10; intervals++) {
      assertFalse(
          health.tick(resumeNanos + intervals * HEARTBEAT_NANOS, 1)
              == LinkHealth.TickResult.TIMED_OUT);
    }
  }

  @Test
  public void peerThatSendsHeartbeatsWithoutEchoTimesOut() {
    LinkHealth health = new LinkHealth(LinkOptions.DEFAULT, 0);
    health.nextHeartbeat(0, 1);
    health.receive(new HeartbeatBody(1, 1, false, 1), HEARTBEAT_NANOS / 10, 1);
    health.nextHeartbeat(HEARTBEAT_NANOS / 10, 1);
    int missed = LinkOptions.DEFAULT.maxMissedHeartbeats();
    for (int intervals = 1; intervals <= missed; intervals++) {
      health.receive(new HeartbeatBody(1 + intervals, 1, true, 1), intervals * HEARTBEAT_NANOS, 1);
      assertFalse(health.tick(intervals * HEARTBEAT_NANOS, 1) == LinkHealth.TickResult.TIMED_OUT);
    }
    assertEquals(health.tick((missed + 2) * HEARTBEAT_NANOS, 1), LinkHealth.TickResult.TIMED_OUT);
  }

  @Test
  public void peerThatNeverEchoesTimesOutAfterConnectTimeout() {
    LinkHealth health = new LinkHealth(LinkOptions.DEFAULT, 0);
    health.nextHeartbeat(0, 1);
    long limitNanos = LinkOptions.DEFAULT.connectTimeout().toNanos() + 5 * HEARTBEAT_NANOS;
    LinkHealth.TickResult last = LinkHealth.TickResult.NONE;
    for (long nowNanos = HEARTBEAT_NANOS; nowNanos <= limitNanos; nowNanos += HEARTBEAT_NANOS) {
      last = health.tick(nowNanos, 1);
    }
    assertEquals(last, LinkHealth.TickResult.TIMED_OUT);
  }

  @Test
  public void echoesAreNotEchoed() {
    LinkHealth health = new LinkHealth(LinkOptions.DEFAULT, 0);
    long idleNanos = LinkOptions.DEFAULT.busyTime().toNanos() + 1;
    HeartbeatBody echo =
        health.receive(new HeartbeatBody(1, 0, true, 1), idleNanos, 1).orElseThrow();
    assertEquals(echo.echo(), 1);
    assertTrue(health.receive(echo, idleNanos, 1).isEmpty());
  }

  @Test
  public void newConfigVersionIsSentImmediatelyOnIdleLink() {
    LinkHealth health = new LinkHealth(LinkOptions.DEFAULT, 0);
    long idleNanos = LinkOptions.DEFAULT.busyTime().toNanos() + 1;
    health.receive(
        new HeartbeatBody(1, health.nextHeartbeat(idleNanos, 1).sequence(), false, 1),
        idleNanos,
        1);
    assertEquals(health.tick(idleNanos + HEARTBEAT_NANOS, 1), LinkHealth.TickResult.NONE);
    assertEquals(
        health.tick(idleNanos + 2 * HEARTBEAT_NANOS, 2), LinkHealth.TickResult.HEARTBEAT_DUE);
  }

  @Test
  public void reconnectDelayDoublesUpToMaximumWithJitter() {
    ReconnectBackoff backoff = new ReconnectBackoff(LinkOptions.DEFAULT, new Random(5));
    long maxDelayNanos = LinkOptions.DEFAULT.maxReconnectDelay().toNanos();
    for (int failures = 0; failures < 20; failures++) {
      backoff.recordFailure(0);
    }
    assertFalse(backoff.mayConnect(maxDelayNanos / 2 - 1));
    assertTrue(backoff.mayConnect(maxDelayNanos));
    backoff.reset();
    assertTrue(backoff.mayConnect(0));
  }

  @Test
  public void sequenceNumbersAreAcceptedOnceInAnyOrder() {
    ReplayWindow window = new ReplayWindow();
    int width = ReplayWindow.WIDTH;
    assertTrue(window.markUsed(5) && window.markUsed(3) && window.markUsed(4));
    assertFalse(
        window.markUsed(3) || window.markUsed(5) || window.markUsed(0) || window.markUsed(-7));
    assertTrue(window.markUsed(width + 4L));
    assertFalse(window.markUsed(4), "below the window, whether used or not");
    assertTrue(window.markUsed(6), "its index is not shared with a newer number");
    assertTrue(window.markUsed(10L * width));
    assertFalse(window.markUsed(width + 4L));
    assertTrue(window.markUsed(10L * width - 1));
  }
}
