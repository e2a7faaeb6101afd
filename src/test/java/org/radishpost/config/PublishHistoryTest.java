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
 * Tests that histories of concurrent writers are linearizable: there is an order of all calls that
 * respects real time and in which each result is correct.
 */
public class PublishHistoryTest {
  private static final int SEEDS = Integer.getInteger("seeds", 30);
  private static final int WRITERS = 3;
  private static final int CALLS_PER_WRITER = 5;
  private static final GatewayName GATEWAY = new GatewayName("gateway");
  private static final Duration PUBLISH_TIMEOUT = Duration.ofSeconds(2);

  @Test
  public void publishIsLinearizable() {
    runs(SEEDS, new LogOrderRules())
        .forEach(run -> assertTrue(run.linearizable(), "seed " + run.seed));
  }

  @Test
  public void applyingInArrivalOrderIsDetected() {
    List<Run> runs = runs(10, new ConfigScheduleTest.ArrivalOrder());
    assertFalse(runs.stream().allMatch(Run::linearizable));
  }

  private static List<Run> runs(int seeds, ReplicationRules rules) {
    return LongStream.rangeClosed(1, seeds).mapToObj(seed -> new Run(seed, rules)).toList();
  }

  /** Records one history of concurrent writers. */
  private static final class Run {
    private final long seed;
    private final ConfigSimulation simulation;
    private final SplittableRandom random;
    private final List<Writer> writers = new ArrayList<>();

    private Run(long seed, ReplicationRules rules) {
      this.seed = seed;
      random = new SplittableRandom(seed);
      simulation = new ConfigSimulation(seed, rules);
      recordHistory();
    }

    private void recordHistory() {
      for (int i = 0; i < WRITERS; i++) {
        writers.add(new Writer(i, simulation.startVm()));
      }
      simulation.advanceTime(Duration.ofSeconds(1));
      writers.forEach(Writer::startNextCall);
      while (!writers.stream().allMatch(writer -> writer.calls.size() == CALLS_PER_WRITER)) {
        simulation.log.setFaults(
            new LogFaults(false, Duration.ZERO, random.nextInt(2), random.nextInt(2)));
        simulation.advanceTime(Duration.ofMillis(random.nextInt(1, 500)));
      }
    }

    private boolean linearizable() {
      return linearizable(new int[WRITERS], 0);
    }

    /**
     * Returns whether the remaining calls can be ordered.
     *
     * @param linearized the number of calls already ordered, for each writer
     * @param version the version after these calls
     */
    private boolean linearizable(int[] linearized, long version) {
      if (Arrays.stream(linearized).allMatch(count -> count == CALLS_PER_WRITER)) {
        return true;
      }
      for (int i = 0; i < WRITERS; i++) {
        if (linearized[i] < CALLS_PER_WRITER
            && canBeNext(writers.get(i).calls.get(linearized[i]), linearized, version)) {
          Call call = writers.get(i).calls.get(linearized[i]);
          int[] next = linearized.clone();
          next[i]++;
          if (linearizable(next, call.accepted ? call.newVersion : version)) {
            return true;
          }
        }
      }
      return false;
    }

    private static boolean canBeNext(Call call, int[] linearized, long version) {
      for (int i = 0; i < WRITERS; i++) {
        if (call.completedBefore[i] > linearized[i]) {
          return false;
        }
      }
      return call.accepted == (call.baseVersion == version);
    }

    /** Publishes sequentially; a call ends with the first result that is not unknown. */
    private final class Writer {
      private final int index;
      private final ConfigSimulation.Vm vm;
      private final List<Call> calls = new ArrayList<>();

      private Writer(int index, ConfigSimulation.Vm vm) {
        this.index = index;
        this.vm = vm;
      }

      private void startNextCall() {
        if (calls.size() < CALLS_PER_WRITER) {
          VersionedManifest known = vm.service.current().manifests().get(GATEWAY);
          long baseVersion = known == null ? 0 : known.version();
          int[] completedBefore =
              writers.stream().mapToInt(writer -> writer.calls.size()).toArray();
          publish("op-" + index + "-" + calls.size(), baseVersion, completedBefore);
        }
      }

      private void publish(String operationId, long baseVersion, int[] completedBefore) {
        ConfigChange change =
            new ConfigChange.Publish(ConfigSimulation.manifest(GATEWAY.value(), baseVersion));
        vm.service
            .publish(operationId, change, PUBLISH_TIMEOUT)
            .subscribe(result -> resultReceived(operationId, baseVersion, completedBefore, result));
      }

      private void resultReceived(
          String operationId, long baseVersion, int[] completedBefore, PublishResult result) {
        switch (result) {
          case PublishResult.Unknown unknown -> publish(operationId, baseVersion, completedBefore);
          case PublishResult.Accepted accepted ->
              callEnded(new Call(baseVersion, accepted.version(), true, completedBefore));
          case PublishResult.Refused refused ->
              callEnded(new Call(baseVersion, 0, false, completedBefore));
        }
      }

      private void callEnded(Call call) {
        calls.add(call);
        simulation.time.schedule(this::startNextCall, random.nextInt(1, 60), TimeUnit.MILLISECONDS);
      }
    }
  }

  /**
   * A completed call.
   *
   * @param baseVersion the version that the call replaces
   * @param newVersion the version after the call, 0 if it was refused
   * @param accepted whether the change was accepted
   * @param completedBefore the number of calls of each writer that ended before this call started
   */
  private record Call(long baseVersion, long newVersion, boolean accepted, int[] completedBefore) {}
}
