package org.radishpost.platform;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.radishpost.config.Configuration;
import org.radishpost.feed.KeyedRecord;
import org.radishpost.feed.TopicOffset;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What a restored store lacks, or has in an older form, does not take back what was applied. */
public class OperatorTopicListenerTest {
  private static final String ZONE = "z-a";
  private static final String DESIRED_STATE =
      """
      {"version":"r%d","routes":{},"services":{},"limits":{"max-body-bytes":1000000}}\
      """;

  private Configuration configuration;
  private OperatorTopicListener listener;

  /** Creates a listener that has applied version 5 and an evacuation. */
  @BeforeMethod
  public void start() {
    configuration = Configuration.EMPTY;
    listener = new OperatorTopicListener(newest -> configuration = newest, (code, fields) -> {});
    listener.onSnapshot(List.of(desiredState(5)));
    listener.onRecord(evacuation(true));
    assertState(5, Set.of(ZONE));
  }

  @Test
  public void olderDesiredStateOfRestoredStoreIsIgnored() {
    listener.onRestoredSnapshot(List.of(desiredState(3), evacuation(true)));
    assertState(5, Set.of(ZONE));
    listener.onRecord(desiredState(4));
    assertState(5, Set.of(ZONE));
    listener.onRecord(desiredState(6));
    assertState(6, Set.of(ZONE));
  }

  @Test
  public void evacuationThatRestoredStoreLacksStays() {
    listener.onRestoredSnapshot(List.of(desiredState(5)));
    assertState(5, Set.of(ZONE));
  }

  /** The history may be compacted before the operator has written the evacuation again. */
  @Test
  public void evacuationThatRestoredStoreLacksStaysAfterFurtherSnapshots() {
    listener.onRestoredSnapshot(List.of(desiredState(5)));
    listener.onSnapshot(List.of(desiredState(6)));
    assertState(6, Set.of(ZONE));
    listener.onRestoredSnapshot(List.of(desiredState(5)));
    assertState(6, Set.of(ZONE));
  }

  @Test
  public void evacuationEndsWithRecordAfterReturn() {
    listener.onRestoredSnapshot(List.of(desiredState(5)));
    listener.onRecord(evacuation(false));
    assertState(5, Set.of());
    listener.onSnapshot(List.of(desiredState(5)));
    assertState(5, Set.of());
  }

  /** The snapshot after a compaction has no record of a zone that is in service again. */
  @Test
  public void evacuationThatWasWrittenAgainEndsWithSnapshot() {
    listener.onRestoredSnapshot(List.of(desiredState(5)));
    listener.onRecord(evacuation(true));
    listener.onSnapshot(List.of(desiredState(5)));
    assertState(5, Set.of());
  }

  /** The operator writes the end of the evacuation again, as it is one of the records lost. */
  @Test
  public void evacuationOfRestoredStoreIsApplied() {
    listener.onRecord(evacuation(false));
    listener.onRestoredSnapshot(List.of(desiredState(5), evacuation(true)));
    assertState(5, Set.of(ZONE));
    listener.onRecord(evacuation(false));
    assertState(5, Set.of());
  }

  private void assertState(long version, Set<String> zones) {
    assertEquals(configuration.version(), version);
    Set<String> outOfService =
        configuration.outOfService().stream()
            .map(scope -> scope.name())
            .collect(Collectors.toSet());
    assertEquals(outOfService, zones);
  }

  private static KeyedRecord desiredState(int version) {
    return record(WireNames.CONFIGURATION_KEY, Optional.of(DESIRED_STATE.formatted(version)));
  }

  private static KeyedRecord evacuation(boolean begins) {
    return record(
        WireNames.EVACUATION_PREFIX + ZONE, begins ? Optional.of("{}") : Optional.empty());
  }

  private static KeyedRecord record(String key, Optional<String> value) {
    return new KeyedRecord(
        new TopicOffset(1, 0), key, value.map(text -> text.getBytes(StandardCharsets.UTF_8)));
  }
}
