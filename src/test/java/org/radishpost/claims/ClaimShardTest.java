package org.radishpost.claims;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.radishpost.lib.Digest;
import org.radishpost.standin.LogFaults;
import org.radishpost.standin.MemoryLog;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Budget, horizon and bounds of one shard. */
public class ClaimShardTest {
  private static final Duration RETENTION = Duration.ofMinutes(5);
  private static final String STREAM = "claims-0";

  private VirtualTimeScheduler time;
  private MemoryLog log;

  /** Starts an empty log. */
  @BeforeMethod
  public void startLog() {
    time = VirtualTimeScheduler.create();
    time.advanceTimeBy(Duration.ofHours(1));
    log = new MemoryLog(time, RETENTION);
  }

  @Test
  public void twoOwnersShareOneBudget() {
    int seconds = 10;
    DirectClaims[] owners = {new DirectClaims(log), new DirectClaims(log)};
    for (int millis = 0; millis < 1_000 * seconds; millis++) {
      for (DirectClaims owner : owners) {
        owner.put(request("key" + millis, nowMillis()));
        owner.step(1_000_000L * millis);
      }
    }
    int budget = ClaimLimits.APPENDS_PER_SECOND * seconds + 2 * ClaimLimits.APPEND_BURST;
    assertTrue(log.appends() <= budget, log.appends() + " appends");
    assertTrue(log.appends() > budget / 2, log.appends() + " appends");
  }

  @Test
  public void keysOutsideTheWindowAreNeverGranted() {
    ClaimRequest ahead = request("ahead", nowMillis() + ClaimLimits.MAX_SKEW_MILLIS + 1);
    assertEquals(new DirectClaims(log).claim(ahead), new ClaimAnswer.KeyMisused());
    ClaimRequest first = request("key", nowMillis() + ClaimLimits.MAX_SKEW_MILLIS);
    assertEquals(new DirectClaims(log).claim(first), new ClaimAnswer.Granted());
    time.advanceTimeBy(RETENTION.plusMillis(1));
    ClaimRequest again = request("key", first.keyTimeMillis());
    assertEquals(new DirectClaims(log).claim(again), new ClaimAnswer.KeyTooOld());
    ClaimRequest younger = request("younger", first.keyTimeMillis() + 1);
    assertEquals(new DirectClaims(log).claim(younger), new ClaimAnswer.Granted());
  }

  @Test
  public void lostAnswerIsResolvedByReading() {
    log.faults(new LogFaults(false, Duration.ZERO, 1, 0));
    DirectClaims owner = new DirectClaims(log);
    assertEquals(owner.claim(request("key", nowMillis())), new ClaimAnswer.Granted());
    assertEquals(log.appends(), 1);
  }

  @Test
  public void unreadableRecordShutsOutTheKeysItMayConcern() {
    log.append(STREAM, new byte[] {1}).block();
    ClaimRequest concerned = request("key", nowMillis() + ClaimLimits.MAX_SKEW_MILLIS);
    assertEquals(new DirectClaims(log).claim(concerned), new ClaimAnswer.KeyTooOld());
  }

  @Test
  public void indexStaysWithinItsBoundAndForgetsOldestKeysFirst() {
    int bound = 100 * ClaimIndex.KEY_BYTES;
    ClaimIndex index = new ClaimIndex(bound);
    long start = nowMillis();
    for (int second = 0; second < 1_000; second++) {
      long keyMillis = start + 1_000L * second;
      index.apply(keyMillis, ClaimEntry.claim(request("key" + second, keyMillis)));
      assertTrue(index.bytes() <= bound);
    }
    assertEquals(index.size(), 100);
    assertTrue(index.tooOld(start + 1_000L * 899));
    assertTrue(!index.tooOld(start + 1_000L * 900));
  }

  @Test
  public void anotherRequestUnderTheSameKeyIsMisuse() {
    DirectClaims owner = new DirectClaims(log);
    ClaimRequest first = request("key", nowMillis());
    ClaimRequest other = request("key", nowMillis(), Optional.of(Digest.of("other request")));
    assertEquals(owner.claim(first), new ClaimAnswer.Granted());
    assertEquals(owner.claim(other), new ClaimAnswer.KeyMisused());
  }

  @Test
  public void keysOfBothFormsBearTheirTime() {
    for (String text :
        List.of("01892A9C-8D00-7abc-8def-0123456789ab", "1688637050112-abcdefghij012345")) {
      IdempotencyKey.Parsed parsed = IdempotencyKey.parse(text);
      assertEquals(((IdempotencyKey.Valid) parsed).key().timeMillis() / 10_000_000, 168_863L);
    }
    for (String text : List.of("", "1688637050112-short", "01892d3a-8d00-4abc-8def-0123456789ab")) {
      assertTrue(IdempotencyKey.parse(text) instanceof IdempotencyKey.Invalid, text);
    }
  }

  private long nowMillis() {
    return time.now(TimeUnit.MILLISECONDS);
  }

  private static ClaimRequest request(String key, long keyMillis) {
    return request(key, keyMillis, Optional.of(Digest.of("request")));
  }

  private static ClaimRequest request(String key, long keyMillis, Optional<Digest> body) {
    Digest attempt = Digest.of("attempt" + DirectClaims.nextAttempt());
    return new ClaimRequest(Digest.of(key), attempt, keyMillis, Set.of(), body);
  }
}
