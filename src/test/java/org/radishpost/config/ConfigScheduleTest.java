package org.radishpost.config;

import static org.testng.Assert.assertTrue;

import java.util.Optional;
import java.util.stream.LongStream;
import org.radishpost.store.LogRecord;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that the invariants hold in random schedules, and that the schedules detect faulty
 * replication rules.
 */
public class ConfigScheduleTest {
  private static final int SEEDS = Integer.getInteger("seeds", 30);

  @Test
  public void randomSchedulesKeepTheInvariants() {
    long accepted = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      ConfigSchedule schedule = new ConfigSchedule(seed, new LogOrderRules());
      schedule.run();
      accepted += schedule.acceptedCount();
    }
    assertTrue(accepted > 5L * SEEDS, "only " + accepted + " changes were accepted");
  }

  /** Returns faulty replication rules. */
  @DataProvider
  public Object[][] brokenRules() {
    return new Object[][] {
      {new ArrivalOrder()}, {new NewVersionInSnapshot()}, {new OlderStateAdopted()},
    };
  }

  @Test(dataProvider = "brokenRules")
  public void brokenRulesAreDetected(ReplicationRules broken) {
    long failures = LongStream.rangeClosed(1, 10).filter(seed -> fails(seed, broken)).count();
    assertTrue(failures > 0, broken + " was not detected");
  }

  private static boolean fails(long seed, ReplicationRules rules) {
    try {
      new ConfigSchedule(seed, rules).run();
      return false;
    } catch (AssertionError expected) {
      return true;
    }
  }

  /** Applies every newer record on arrival, even if earlier records are missing. */
  static final class ArrivalOrder extends Delegating {
    @Override
    public boolean appliesNext(ConfigState state, LogRecord record) {
      return record.offset() > state.version();
    }
  }

  /** Writes the state to snapshots with a new version instead of its own. */
  private static final class NewVersionInSnapshot extends Delegating {
    @Override
    public ConfigState stateForSnapshot(ConfigState state, long newestKnownVersion) {
      return state.advancedTo(newestKnownVersion + 1, state.timeMillis());
    }
  }

  /** Adopts every snapshot as the newest state, even if it is older than the current state. */
  private static final class OlderStateAdopted extends Delegating {
    @Override
    public Optional<ConfigState> stateToAdopt(ConfigState own, ConfigState other) {
      return Optional.of(other.advancedTo(Math.max(own.version(), other.version()), 0));
    }
  }

  private abstract static class Delegating implements ReplicationRules {
    private final ReplicationRules delegate = new LogOrderRules();

    @Override
    public boolean appliesNext(ConfigState state, LogRecord record) {
      return delegate.appliesNext(state, record);
    }

    @Override
    public Optional<ConfigState> stateToAdopt(ConfigState own, ConfigState other) {
      return delegate.stateToAdopt(own, other);
    }

    @Override
    public ConfigState stateForSnapshot(ConfigState state, long newestKnownVersion) {
      return delegate.stateForSnapshot(state, newestKnownVersion);
    }

    @Override
    public String toString() {
      return getClass().getSimpleName();
    }
  }
}
