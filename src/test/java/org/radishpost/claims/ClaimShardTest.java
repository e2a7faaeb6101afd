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

/** Tests the append rate limit, the accepted key times and the index size of one shard. */
public class ClaimShardTest {
  private static final Duration RETENTION = Duration.ofMinutes(5);
  private static final String STREAM = "claims-0";

  private VirtualTimeScheduler time;
  private MemoryLog log;

  /** Creates an empty log. */
  @BeforeMethod
  public void createLog() {
    time = VirtualTimeScheduler.create();
    time.advanceTimeBy(Duration.ofHours(1));
    log = new MemoryLog(time, RETENTION);
  }

  @Test
  public void twoOwnersShareOneAppendRateLimit() {
    int seconds = 10;
    SynchronousClaims[] owners = {new SynchronousClaims(log), new SynchronousClaims(log)};
    for (int millis = 0; millis < 1_000 * seconds; millis++) {
      for (SynchronousClaims owner : owners) {
        owner.submit(request("key" + millis, nowMillis()));
        owner.advanceTo(1_000_000L * millis);
      }
    }
    int maxAppends = ClaimLimits.APPENDS_PER_SECOND * seconds + 2 * ClaimLimits.APPEND_BURST;
    assertTrue(log.appendCount() <= maxAppends, log.appendCount() + " appends");
    assertTrue(log.appendCount() > maxAppends / 2, log.appendCount() + " appends");
  }

  @Test
  public void keysOutsideTheTimeWindowAreNotGranted() {
    ClaimRequest ahead = request("ahead", nowMillis() + ClaimLimits.MAX_CLOCK_SKEW_MILLIS + 1);
    assertEquals(new SynchronousClaims(log).claim(ahead), new ClaimResult.KeyMisused());
    ClaimRequest first = request("key", nowMillis() + ClaimLimits.MAX_CLOCK_SKEW_MILLIS);
    assertEquals(new SynchronousClaims(log).claim(first), new ClaimResult.Granted());
    time.advanceTimeBy(RETENTION.plusMillis(1));
    ClaimRequest again = request("key", first.keyTimeMillis());
    assertEquals(new SynchronousClaims(log).claim(again), new ClaimResult.KeyTooOld());
    ClaimRequest younger = request("younger", first.keyTimeMillis() + 1);
    assertEquals(new SynchronousClaims(log).claim(younger), new ClaimResult.Granted());
  }

  @Test
  public void lostAppendResponseIsResolvedByReading() {
    log.setFaults(new LogFaults(false, Duration.ZERO, 1, 0));
    SynchronousClaims owner = new SynchronousClaims(log);
    assertEquals(owner.claim(request("key", nowMillis())), new ClaimResult.Granted());
    assertEquals(log.appendCount(), 1);
  }

  @Test
  public void keysThatAnUnreadableRecordMayConcernAreNotGranted() {
    log.append(STREAM, new byte[] {1}).block();
    ClaimRequest concerned = request("key", nowMillis() + ClaimLimits.MAX_CLOCK_SKEW_MILLIS);
    assertEquals(new SynchronousClaims(log).claim(concerned), new ClaimResult.KeyTooOld());
  }

  @Test
  public void indexStaysWithinBoundAndEvictsOldestKeysFirst() {
    int bound = 100 * ClaimIndex.KEY_BYTES;
    ClaimIndex index = new ClaimIndex(bound);
    long start = nowMillis();
    for (int second = 0; second < 1_000; second++) {
      long keyMillis = start + 1_000L * second;
      index.apply(keyMillis, ClaimEntry.claim(request("key" + second, keyMillis)));
      assertTrue(index.estimatedBytes() <= bound);
    }
    assertEquals(index.keyCount(), 100);
    assertTrue(index.isTooOld(start + 1_000L * 899));
    assertTrue(!index.isTooOld(start + 1_000L * 900));
  }

  @Test
  public void differentRequestWithSameKeyIsMisuse() {
    SynchronousClaims owner = new SynchronousClaims(log);
    ClaimRequest first = request("key", nowMillis());
    ClaimRequest other = request("key", nowMillis(), Optional.of(Digest.of("other request")));
    assertEquals(owner.claim(first), new ClaimResult.Granted());
    assertEquals(owner.claim(other), new ClaimResult.KeyMisused());
  }

  @Test
  public void timeIsParsedFromBothKeyFormats() {
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

  private static ClaimRequest request(String key, long keyMillis, Optional<Digest> requestDigest) {
    Digest attempt = Digest.of("attempt" + SynchronousClaims.nextAttempt());
    return new ClaimRequest(Digest.of(key), attempt, keyMillis, Set.of(), requestDigest);
  }
}
