package org.radishpost.claims;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.jetbrains.lincheck.datastructures.ThreadIdGen;
import org.radishpost.lib.Digest;
import org.radishpost.standin.LogFaults;
import org.radishpost.standin.MemoryLog;
import org.radishpost.store.PlatformLog;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Tests that concurrent claims through two owners of one shard are linearizable. */
public class ClaimHistoryTest {
  private static final long NOW_MILLIS = 3_600_000;

  /** Two owners that share one log, which loses some appends and responses. */
  @Param(name = "key", gen = IntGen.class, conf = "1:2")
  @Param(name = "vm", gen = IntGen.class, conf = "0:1")
  public static class SharedLogClaims {
    private final SynchronousClaims[] vms;
    private final Map<String, ClaimRequest> grantedRequests = new ConcurrentHashMap<>();

    /** Creates both owners with the same empty log. */
    public SharedLogClaims() {
      PlatformLog log = faultyLog();
      vms = new SynchronousClaims[] {new SynchronousClaims(log), new SynchronousClaims(log)};
    }

    SharedLogClaims(PlatformLog first, PlatformLog second) {
      vms = new SynchronousClaims[] {new SynchronousClaims(first), new SynchronousClaims(second)};
    }

    /** Claims the key for a new attempt of the thread. */
    @Operation
    public String claim(
        @Param(gen = ThreadIdGen.class) int thread,
        @Param(name = "vm") int vm,
        @Param(name = "key") int key) {
      ClaimRequest request = request(key);
      ClaimResult result = vms[vm].claim(request);
      if (result instanceof ClaimResult.Granted) {
        grantedRequests.put(grantKey(thread, key), request);
      }
      return result.getClass().getSimpleName();
    }

    /** Completes the thread's attempt if it holds the key. */
    @Operation
    public boolean complete(
        @Param(gen = ThreadIdGen.class) int thread,
        @Param(name = "vm") int vm,
        @Param(name = "key") int key) {
      return end(thread, vm, key, Optional.of(new ClaimOutcome(200, "", new byte[0])));
    }

    /** Withdraws the thread's attempt if it holds the key. */
    @Operation
    public boolean withdraw(
        @Param(gen = ThreadIdGen.class) int thread,
        @Param(name = "vm") int vm,
        @Param(name = "key") int key) {
      return end(thread, vm, key, Optional.empty());
    }

    private boolean end(int thread, int vm, int key, Optional<ClaimOutcome> outcome) {
      ClaimRequest request = grantedRequests.remove(grantKey(thread, key));
      if (request == null) {
        return false;
      }
      vms[vm].end(request, outcome);
      return true;
    }

    private static String grantKey(int thread, int key) {
      return thread + "/" + key;
    }

    private static ClaimRequest request(int key) {
      Digest attempt = Digest.of("attempt" + SynchronousClaims.nextAttempt());
      return new ClaimRequest(
          Digest.of("key" + key), attempt, NOW_MILLIS, Set.of(), Optional.empty());
    }

    static PlatformLog faultyLog() {
      VirtualTimeScheduler time = VirtualTimeScheduler.create();
      time.advanceTimeBy(Duration.ofMillis(NOW_MILLIS));
      MemoryLog log = new MemoryLog(time, Duration.ofHours(1));
      log.setFaults(new LogFaults(false, Duration.ZERO, 2, 1));
      return log;
    }
  }

  /** A faulty variant of {@link SharedLogClaims} in which each owner has a separate log. */
  public static class SeparateLogClaims extends SharedLogClaims {
    /** Creates both owners, each with an empty log. */
    public SeparateLogClaims() {
      super(faultyLog(), faultyLog());
    }
  }

  /** The sequential specification of claims. */
  public static class SequentialClaims {
    private final Map<Integer, Integer> holders = new HashMap<>();
    private final Map<Integer, Boolean> completed = new HashMap<>();

    /** Returns the result of a claim. */
    public String claim(int thread, int vm, int key) {
      if (completed.containsKey(key)) {
        return "Completed";
      }
      return holders.putIfAbsent(key, thread) == null ? "Granted" : "Held";
    }

    /** Completes the thread's attempt if it holds the key. */
    public boolean complete(int thread, int vm, int key) {
      boolean holds = holders.getOrDefault(key, -1) == thread && !completed.containsKey(key);
      if (holds) {
        completed.put(key, true);
      }
      return holds;
    }

    /** Withdraws the thread's attempt if it holds the key. */
    public boolean withdraw(int thread, int vm, int key) {
      boolean holds = holders.getOrDefault(key, -1) == thread && !completed.containsKey(key);
      if (holds) {
        holders.remove(key);
      }
      return holds;
    }
  }

  @Test
  public void claimsAreLinearizable() {
    options(100).check(SharedLogClaims.class);
  }

  @Test
  public void ownersWithSeparateLogsAreDetected() {
    AssertionError failure =
        expectThrows(AssertionError.class, () -> options(100).check(SeparateLogClaims.class));
    assertTrue(failure.getMessage().contains("Granted"), failure.getMessage());
  }

  private static StressOptions options(int iterations) {
    return new StressOptions()
        .sequentialSpecification(SequentialClaims.class)
        .iterations(iterations)
        .invocationsPerIteration(100)
        .threads(3)
        .actorsPerThread(3)
        .actorsBefore(1)
        .actorsAfter(1);
  }
}
