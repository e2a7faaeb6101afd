package org.radishpost.platform;

import static org.radishpost.feed.TestOffsets.at;
import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.radishpost.feed.FeedRecord;
import org.radishpost.feed.KeyedRecord;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.ZoneName;
import org.radishpost.placement.EntryVersion;
import org.radishpost.placement.TargetDirectory;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Random runs of one target, some of whose writes the store carries out late: a relay, and a VM
 * that follows the relay at times and reads the store at others, serve the target only as its
 * newest entry says.
 */
public class LateRecordScheduleTest {
  private static final int SEEDS = Integer.getInteger("seeds", 300);
  private static final int STEPS = 60;
  private static final String KEY = "t";
  private static final String ENTRY =
      "{\"service\":\"s\",\"address\":\"10.1.0.1:80\",\"zone\":\"z\",\"concurrency\":2,"
          + "\"state\":\"%s\",\"sequence\":%d,\"born\":%d}";

  @Test
  public void lateRecordsChangeNothing() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      new Schedule(seed).run();
    }
  }

  private static TargetDirectory directory() {
    return new TargetDirectory((code, fields) -> {});
  }

  private static TargetTopicListener listener(TargetDirectory directory) {
    return new TargetTopicListener(
        directory,
        () -> Map.of(new ZoneName("z"), new RegionName("r")),
        VirtualTimeScheduler.create(),
        (code, fields) -> {});
  }

  /** A write of the target to its entry. */
  private record Write(EntryVersion version, boolean draining) {
    private byte[] bytes() {
      String state = draining ? "draining" : "ready";
      return ENTRY
          .formatted(state, version.sequence(), version.startedMillis())
          .getBytes(StandardCharsets.UTF_8);
    }
  }

  /** One random run. */
  private static final class Schedule {
    private final int seed;
    private final SplittableRandom random;
    private final TargetDirectory relay = directory();
    private final TargetDirectory follower = directory();
    private final TargetTopicListener relayListener = listener(relay);
    private final TargetTopicListener followerListener = listener(follower);
    private final List<Write> late = new ArrayList<>();
    private Optional<Write> newest = Optional.empty();
    private boolean registered;
    private long started = 1;
    private long sequence;
    private boolean draining;
    private long nextOffset;

    private Schedule(int seed) {
      this.seed = seed;
      this.random = new SplittableRandom(seed);
    }

    private void run() {
      relayListener.onSnapshot(List.of());
      followerListener.onSnapshot(List.of());
      for (int step = 0; step < STEPS; step++) {
        step();
        check(step);
      }
    }

    private void step() {
      switch (random.nextInt(10)) {
        case 0 -> delete();
        case 1 -> restart();
        case 2 -> draining = true;
        case 3, 4 -> late.add(nextWrite());
        case 5, 6 -> carryOutLateWrite();
        default -> carryOut(nextWrite());
      }
    }

    private Write nextWrite() {
      sequence++;
      return new Write(new EntryVersion(started, sequence), draining);
    }

    private void restart() {
      started++;
      sequence = 0;
      draining = false;
    }

    private void carryOutLateWrite() {
      if (!late.isEmpty()) {
        carryOut(late.remove(random.nextInt(late.size())));
      }
    }

    private void carryOut(Write write) {
      append(Optional.of(write.bytes()));
      boolean newer =
          newest.filter(known -> write.version().compareTo(known.version()) <= 0).isEmpty();
      if (newer) {
        newest = Optional.of(write);
        registered = true;
      }
    }

    private void delete() {
      append(Optional.empty());
      registered = false;
    }

    private void append(Optional<byte[]> value) {
      KeyedRecord record = new KeyedRecord(at(nextOffset++), KEY, value);
      Optional<FeedRecord> forwarded = relayListener.onRecord(record);
      if (random.nextBoolean()) {
        forwarded.ifPresent(followerListener::onRecord);
      } else {
        followerListener.onRecord(record);
      }
    }

    private void check(int step) {
      boolean expected = registered && !newest.orElseThrow().draining();
      String message = "seed " + seed + ", step " + step;
      assertEquals(isServing(relay), expected, "relay, " + message);
      assertEquals(isServing(follower), expected, "follower, " + message);
    }

    private static boolean isServing(TargetDirectory directory) {
      return !directory.serving(new ServiceName("s"), Set.of()).isEmpty();
    }
  }
}
