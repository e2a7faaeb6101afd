package org.radishpost.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.radishpost.store.LogPage;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Tests the append limit, the notification of readers and the expiry of records in {@link
 * MemoryLog}.
 */
public class MemoryLogTest {
  private static final byte[] PAYLOAD = {1};

  private final VirtualTimeScheduler clock = VirtualTimeScheduler.create();
  private final MemoryLog log = new MemoryLog(clock, Duration.ofSeconds(10));

  @Test
  public void appendsBeyondTheRateFailUntilTheNextSecond() {
    log.setMaxAppendsPerSecond(2);
    log.append("rate", PAYLOAD).block();
    log.append("rate", PAYLOAD).block();
    expectThrows(RuntimeException.class, () -> log.append("rate", PAYLOAD).block());
    clock.advanceTimeBy(Duration.ofSeconds(1));
    assertEquals(log.append("rate", PAYLOAD).block().offset(), 3);
  }

  @Test
  public void readersAreNotifiedOutsideTheLock() {
    List<Long> counts = new ArrayList<>();
    log.read("woken", 1, 1, Duration.ofSeconds(5))
        .map(page -> CompletableFuture.supplyAsync(log::appendedBytes).join())
        .subscribe(counts::add);
    log.append("woken", PAYLOAD).block();
    assertEquals(counts.size(), 1);
  }

  @Test
  public void expiryKeepsOffsetsAndAdvancesEarliestOffset() {
    log.append("expired", PAYLOAD).block();
    clock.advanceTimeBy(Duration.ofSeconds(11));
    log.append("expired", PAYLOAD).block();
    LogPage page = log.read("expired", 1, 10, Duration.ZERO).block();
    assertEquals(page.earliestOffset(), 2);
    assertEquals(page.records().getFirst().offset(), 2);
  }
}
