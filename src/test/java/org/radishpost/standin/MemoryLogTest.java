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

/** What the log in memory promises beyond its faults. */
public class MemoryLogTest {
  private static final byte[] BYTES = {1};

  private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
  private final MemoryLog log = new MemoryLog(time, Duration.ofSeconds(10));

  @Test
  public void appendsBeyondTheRateAreRefusedUntilTheNextSecond() {
    log.appendsPerSecond(2);
    log.append("rate", BYTES).block();
    log.append("rate", BYTES).block();
    expectThrows(RuntimeException.class, () -> log.append("rate", BYTES).block());
    time.advanceTimeBy(Duration.ofSeconds(1));
    assertEquals(log.append("rate", BYTES).block().offset(), 3);
  }

  @Test
  public void readerIsWokenOutsideTheLock() {
    List<Long> seen = new ArrayList<>();
    log.read("woken", 1, 1, Duration.ofSeconds(5))
        .map(page -> CompletableFuture.supplyAsync(log::appendBytes).join())
        .subscribe(seen::add);
    log.append("woken", BYTES).block();
    assertEquals(seen.size(), 1);
  }

  @Test
  public void expiredRecordsLeaveTheirOffsetsAndHorizon() {
    log.append("expired", BYTES).block();
    time.advanceTimeBy(Duration.ofSeconds(11));
    log.append("expired", BYTES).block();
    LogPage page = log.read("expired", 1, 10, Duration.ZERO).block();
    assertEquals(page.earliestOffset(), 2);
    assertEquals(page.records().getFirst().offset(), 2);
  }
}
