package org.radishpost.placement;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The table of decision 019 for the entries of targets, a row a test. */
public class RestoredEntryUseTest {
  private static final Optional<Target> NONE = Optional.empty();

  private static Target ready(long startedMillis) {
    return ready(startedMillis, 0);
  }

  private static Target ready(long startedMillis, long sequence) {
    return TestTargets.withVersion(TestTargets.ready("t"), startedMillis, sequence);
  }

  private static Target draining(long startedMillis) {
    return draining(startedMillis, 0);
  }

  private static Target draining(long startedMillis, long sequence) {
    return TestTargets.withVersion(TestTargets.draining("t"), startedMillis, sequence);
  }

  private static Target cold(long startedMillis) {
    return TestTargets.startedAt(TestTargets.cold("t", Duration.ofSeconds(2)), startedMillis);
  }

  /** Returns the entry, what is known, the last entry before the target left, and the use. */
  @DataProvider
  public Object[][] rows() {
    return new Object[][] {
      {"unknown target", ready(5), NONE, NONE, RestoredEntryUse.APPLY},
      {"equal entry", ready(5), Optional.of(ready(5)), NONE, RestoredEntryUse.APPLY},
      {"same run, cold", cold(5), Optional.of(ready(5)), NONE, RestoredEntryUse.APPLY},
      {"same run, drains", draining(5), Optional.of(ready(5)), NONE, RestoredEntryUse.APPLY},
      {"same run, still ready", ready(5), Optional.of(draining(5)), NONE, RestoredEntryUse.IGNORE},
      {"earlier run", ready(4), Optional.of(ready(5)), NONE, RestoredEntryUse.IGNORE},
      {"earlier run, drains", draining(4), Optional.of(ready(5)), NONE, RestoredEntryUse.IGNORE},
      {"later run", ready(6), Optional.of(draining(5)), NONE, RestoredEntryUse.APPLY},
      {"run that ended", ready(5), NONE, Optional.of(ready(5)), RestoredEntryUse.HOLD_BACK},
      {"run before it", ready(4), NONE, Optional.of(ready(5)), RestoredEntryUse.HOLD_BACK},
      {"run that drained", draining(5), NONE, Optional.of(draining(5)), RestoredEntryUse.HOLD_BACK},
      {"run after it", ready(6), NONE, Optional.of(ready(5)), RestoredEntryUse.APPLY},
      {"earlier", ready(5, 2), Optional.of(ready(5, 3)), NONE, RestoredEntryUse.KEEP_KNOWN},
      {"later", ready(5, 4), Optional.of(ready(5, 3)), NONE, RestoredEntryUse.APPLY},
      {"before draining", ready(5, 2), Optional.of(draining(5, 3)), NONE, RestoredEntryUse.IGNORE},
      {"drains", draining(5, 2), Optional.of(draining(5, 3)), NONE, RestoredEntryUse.KEEP_KNOWN},
      {"earlier run", ready(4, 9), Optional.of(ready(5, 3)), NONE, RestoredEntryUse.IGNORE},
      {"count starts anew", ready(6, 1), Optional.of(ready(5, 3)), NONE, RestoredEntryUse.APPLY},
      {"before it left", ready(5, 2), NONE, Optional.of(ready(5, 3)), RestoredEntryUse.HOLD_BACK},
      {"lapsed", ready(5, 4), NONE, Optional.of(ready(5, 3)), RestoredEntryUse.APPLY},
      {"next run", ready(6, 1), NONE, Optional.of(draining(5, 3)), RestoredEntryUse.APPLY},
      {
        "run without a start time",
        ready(0),
        NONE,
        Optional.of(ready(0)),
        RestoredEntryUse.HOLD_BACK
      },
    };
  }

  @Test(dataProvider = "rows")
  public void entryIsUsedOnlyIfItIsNotOlderThanWhatIsKnown(
      String row,
      Target entry,
      Optional<Target> known,
      Optional<Target> departed,
      RestoredEntryUse expected) {
    assertEquals(RestoredEntryUse.of(entry, known, departed), expected, row);
  }
}
