package org.radishpost.config;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.radishpost.lib.GatewayName;
import org.radishpost.standin.LogFaults;
import org.testng.annotations.Test;

/**
 * Histories of racing writers are linearizable, one call after the other in some order that time
 * allows.
 */
public class PublishHistoryTest {
  private static final int SEEDS = Integer.getInteger("seeds", 30);
  private static final int WRITERS = 3;
  private static final int CALLS = 5;
  private static final GatewayName GATEWAY = new GatewayName("gateway");
  private static final Duration LIMIT = Duration.ofSeconds(2);

  @Test
  public void publishIsLinearizable() {
    runs(SEEDS, new LogOrderRules())
        .forEach(run -> assertTrue(run.linearizable(), "seed " + run.seed));
  }

  @Test
  public void applyingByArrivalIsFound() {
    List<Run> runs = runs(10, new ConfigScheduleTest.ArrivalOrder());
    assertFalse(runs.stream().allMatch(Run::linearizable));
  }

  private static List<Run> runs(int seeds, ReplicaRules rules) {
    return LongStream.rangeClosed(1, seeds).mapToObj(seed -> new Run(seed, rules)).toList();
  }

  private static final class Run {
    private final long seed;
    private final ConfigWorld world;
    private final SplittableRandom random;
    private final List<Writer> writers = new ArrayList<>();

    private Run(long seed, ReplicaRules rules) {
      this.seed = seed;
      random = new SplittableRandom(seed);
      world = new ConfigWorld(seed, rules);
      record();
    }

    private void record() {
      for (int i = 0; i < WRITERS; i++) {
        writers.add(new Writer(i, world.startVm()));
      }
      world.pass(Duration.ofSeconds(1));
      writers.forEach(Writer::next);
      while (!writers.stream().allMatch(writer -> writer.calls.size() == CALLS)) {
        world.log.faults(new LogFaults(false, Duration.ZERO, random.nextInt(2), random.nextInt(2)));
        world.pass(Duration.ofMillis(random.nextInt(1, 500)));
      }
    }

    private boolean linearizable() {
      return linearizable(new int[WRITERS], 0);
    }

    /** Tells whether the calls that are left fit a register that holds the version now. */
    private boolean linearizable(int[] done, long version) {
      if (Arrays.stream(done).allMatch(count -> count == CALLS)) {
        return true;
      }
      for (int i = 0; i < WRITERS; i++) {
        if (done[i] < CALLS && fits(writers.get(i).calls.get(done[i]), done, version)) {
          Call call = writers.get(i).calls.get(done[i]);
          int[] next = done.clone();
          next[i]++;
          if (linearizable(next, call.accepted ? call.got : version)) {
            return true;
          }
        }
      }
      return false;
    }

    private static boolean fits(Call call, int[] done, long version) {
      for (int i = 0; i < WRITERS; i++) {
        if (call.clock[i] > done[i]) {
          return false;
        }
      }
      return call.accepted == (call.base == version);
    }

    /** Calls one after the other; a call lasts until its answer is definite. */
    private final class Writer {
      private final int index;
      private final ConfigWorld.Vm vm;
      private final List<Call> calls = new ArrayList<>();

      private Writer(int index, ConfigWorld.Vm vm) {
        this.index = index;
        this.vm = vm;
      }

      private void next() {
        if (calls.size() < CALLS) {
          VersionedManifest known = vm.service.current().manifests().get(GATEWAY);
          long base = known == null ? 0 : known.version();
          int[] clock = writers.stream().mapToInt(writer -> writer.calls.size()).toArray();
          ask("op-" + index + "-" + calls.size(), base, clock);
        }
      }

      private void ask(String operation, long base, int[] clock) {
        ConfigChange change = new ConfigChange.Publish(ConfigWorld.manifest(GATEWAY.value(), base));
        vm.service
            .publish(operation, change, LIMIT)
            .subscribe(result -> answered(operation, base, clock, result));
      }

      private void answered(String operation, long base, int[] clock, PublishResult result) {
        switch (result) {
          case PublishResult.Unknown unknown -> ask(operation, base, clock);
          case PublishResult.Accepted accepted ->
              ended(new Call(base, accepted.version(), true, clock));
          case PublishResult.Refused refused -> ended(new Call(base, 0, false, clock));
        }
      }

      private void ended(Call call) {
        calls.add(call);
        world.time.schedule(this::next, random.nextInt(1, 60), TimeUnit.MILLISECONDS);
      }
    }
  }

  private record Call(long base, long got, boolean accepted, int[] clock) {}
}
