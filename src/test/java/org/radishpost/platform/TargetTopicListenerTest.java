package org.radishpost.platform;

import static org.radishpost.feed.TestOffsets.at;
import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.radishpost.events.EventCode;
import org.radishpost.feed.KeyedRecord;
import org.radishpost.feed.RenewalRecord;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.ZoneName;
import org.radishpost.placement.TargetDirectory;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Tests that an entry of another writer leaves the other targets in use. */
public class TargetTopicListenerTest {
  private static final String ENTRY =
      "{\"service\":\"s\",\"address\":\"10.1.0.1:%s\",\"zone\":\"z\",\"concurrency\":%s,"
          + "\"state\":\"ready\",\"sequence\":%4$s,\"born\":5,\"extra\":%3$s}";

  private final List<EventCode> events = new ArrayList<>();
  private TargetDirectory directory;
  private TargetTopicListener listener;

  /** Creates an empty directory. */
  @BeforeMethod
  public void start() {
    events.clear();
    directory = new TargetDirectory((code, fields) -> events.add(code));
    listener =
        new TargetTopicListener(
            directory,
            () -> Map.of(new ZoneName("z"), new RegionName("r")),
            VirtualTimeScheduler.create(),
            (code, fields) -> events.add(code));
  }

  private static KeyedRecord record(long offset, String key, String entry) {
    return new KeyedRecord(at(offset), key, Optional.of(entry.getBytes(StandardCharsets.UTF_8)));
  }

  /** Returns an entry that the target has written as its record at the offset was appended. */
  private static KeyedRecord sound(long offset, String key) {
    return record(offset, key, ENTRY.formatted(80, 2, 0, offset));
  }

  /** Returns entries that are deeply nested or have a number or port out of range. */
  @DataProvider
  public Object[] oddEntries() {
    return new Object[] {
      ENTRY.formatted(80, 2, "[".repeat(50_000) + "]".repeat(50_000), 1),
      ENTRY.formatted(80, 2, "{\"a\":".repeat(50_000) + "1" + "}".repeat(50_000), 1),
      ENTRY.formatted(80, "1e999", 0, 1),
      ENTRY.formatted(80, "9".repeat(50_000), 0, 1),
      ENTRY.formatted(70_000, 2, 0, 1),
      ENTRY.formatted("-1", 2, 0, 1),
    };
  }

  @Test(dataProvider = "oddEntries")
  public void oddEntryOfAnotherWriterLeavesTheOthersInUse(String odd) {
    listener.onSnapshot(List.of(sound(0, "a"), record(1, "odd", odd), sound(2, "b")));
    listener.onRecord(record(3, "odd", odd));
    listener.onRecord(sound(4, "c"));
    assertEquals(directory.size(), 3);
    assertEquals(events.stream().filter(EventCode.TARGET_ENTRY_UNREADABLE::equals).count(), 2);
  }

  /** An outage that falls between two reads is not seen otherwise. */
  @Test
  public void targetThatRestoredStoreLacksIsKept() {
    listener.onSnapshot(List.of(sound(0, "a"), sound(1, "b")));
    listener.onRestoredSnapshot(List.of(sound(0, "a")));
    assertEquals(servingTargets(), 2);
  }

  @Test
  public void targetThatLeftIsNotServedBecauseRestoredStoreHasIt() {
    listener.onSnapshot(List.of(sound(0, "a"), sound(1, "b")));
    listener.onRecord(new KeyedRecord(at(2), "b", Optional.empty()));
    listener.onRestoredSnapshot(List.of(sound(0, "a"), sound(1, "b")));
    assertEquals(servingTargets(), 1);
    listener.onRecord(sound(2, "b"));
    assertEquals(servingTargets(), 2);
  }

  @Test
  public void drainingTargetIsNotServedBecauseItIsReadyInRestoredStore() {
    listener.onSnapshot(List.of(sound(0, "a"), sound(1, "b")));
    listener.onRecord(record(2, "b", ENTRY.formatted(80, 2, 0, 2).replace("ready", "draining")));
    listener.onRestoredSnapshot(List.of(sound(0, "a"), sound(1, "b")));
    assertEquals(servingTargets(), 1);
  }

  /** A VM that has just started knows of no target that has left. */
  @Test
  public void lateEntryIsNotForwardedToOtherVms() {
    listener.onSnapshot(List.of(sound(0, "a"), sound(5, "b")));
    listener.onRecord(new KeyedRecord(at(6), "b", Optional.empty()));
    assertEquals(listener.onRecord(sound(3, "b")), Optional.empty());
    KeyedRecord kept = sound(0, "a");
    assertEquals(listener.onSnapshot(List.of(kept, sound(3, "b"))), List.of(kept));
    assertEquals(listener.onRestoredSnapshot(List.of(kept, sound(3, "b"))), List.of(kept));
  }

  @Test
  public void renewalIsForwardedWithoutTheEntry() {
    listener.onSnapshot(List.of(sound(0, "a")));
    assertEquals(listener.onRecord(sound(4, "a")), Optional.of(new RenewalRecord(at(4), "a", 4)));
  }

  private int servingTargets() {
    return directory.serving(new ServiceName("s"), Set.of()).size();
  }
}
