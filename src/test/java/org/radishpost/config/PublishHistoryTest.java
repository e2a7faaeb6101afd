package org.radishpost.config;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.lang.reflect.Method;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import kotlin.Unit;
import org.jetbrains.kotlinx.lincheck.Actor;
import org.jetbrains.kotlinx.lincheck.execution.ExecutionResult;
import org.jetbrains.kotlinx.lincheck.execution.ExecutionScenario;
import org.jetbrains.kotlinx.lincheck.execution.HBClock;
import org.jetbrains.kotlinx.lincheck.execution.ResultWithClock;
import org.jetbrains.kotlinx.lincheck.util.ValueResult;
import org.jetbrains.lincheck.datastructures.verifier.LinearizabilityVerifier;
import org.jetbrains.lincheck.jvm.agent.InstrumentationMode;
import org.jetbrains.lincheck.jvm.agent.LincheckInstrumentationKt;
import org.radishpost.lib.GatewayName;
import org.radishpost.standin.LogFaults;
import org.testng.annotations.Test;

/** Histories of racing writers are linearizable, by the checker of Lincheck. */
public class PublishHistoryTest {
  private static final int SEEDS = Integer.getInteger("seeds", 30);
  private static final int WRITERS = 3;
  private static final int CALLS = 5;
  private static final GatewayName GATEWAY = new GatewayName("gateway");
  private static final Duration LIMIT = Duration.ofSeconds(2);
  private static final Method METHOD =
      Arrays.stream(Register.class.getMethods())
          .filter(method -> method.getName().equals("publish"))
          .findFirst()
          .orElseThrow();

  @Test
  public void publishIsLinearizable() {
    List<Run> runs = runs(SEEDS, new LogOrderRules());
    checked(() -> runs.forEach(run -> assertTrue(run.linearizable(), "seed " + run.seed)));
  }

  @Test
  public void applyingByArrivalIsFound() {
    List<Run> runs = runs(10, new ConfigScheduleTest.ArrivalOrder());
    checked(() -> assertFalse(runs.stream().allMatch(Run::linearizable)));
  }

  private static List<Run> runs(int seeds, ReplicaRules rules) {
    return LongStream.rangeClosed(1, seeds).mapToObj(seed -> new Run(seed, rules)).toList();
  }

  private static void checked(Runnable check) {
    LincheckInstrumentationKt.withLincheckJavaAgent(
        InstrumentationMode.STRESS,
        () -> {
          check.run();
          return Unit.INSTANCE;
        });
  }

  /** One gateway's manifest: a change is accepted if it was made for the version in force. */
  public static final class Register {
    private long version;

    /** Publishes for a base; the version is the one that an accepted change got. */
    public boolean publish(long base, long got) {
      if (base != version) {
        return false;
      }
      version = got;
      return true;
    }
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
      List<List<Actor>> actors = writers.stream().map(Writer::actors).toList();
      List<List<ResultWithClock>> results = writers.stream().map(Writer::results).toList();
      return new LinearizabilityVerifier(Register.class)
          .verifyResultsImpl(
              new ExecutionScenario(List.of(), actors, List.of(), null),
              new ExecutionResult(List.of(), results, List.of()));
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

      private List<Actor> actors() {
        return calls.stream().map(call -> new Actor(METHOD, List.of(call.base, call.got))).toList();
      }

      private List<ResultWithClock> results() {
        return calls.stream()
            .map(
                call ->
                    new ResultWithClock(new ValueResult(call.accepted), new HBClock(call.clock)))
            .toList();
      }
    }
  }

  private record Call(long base, long got, boolean accepted, int[] clock) {}
}
