package org.radishpost.feed;

import static org.radishpost.feed.TestOffsets.at;
import static org.radishpost.feed.TestOffsets.position;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.radishpost.errors.LinkException;
import org.radishpost.lib.Digest;
import org.radishpost.lib.Place;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.ZoneName;
import org.radishpost.placement.LoadSample;
import org.radishpost.placement.TargetId;
import org.radishpost.slots.SlotMessage;
import org.radishpost.slots.SlotOutcome;
import org.radishpost.slots.SlotRefusalReason;
import org.radishpost.suspects.CrashId;
import org.radishpost.suspects.CrashReport;
import org.radishpost.suspects.CrashUpdate;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Feed messages survive encoding and decoding; other bytes are rejected. */
public class FeedCodecTest {
  private static final TargetId TARGET = new TargetId("t");

  /** Returns one message of each type. */
  @DataProvider
  public Object[][] messages() {
    KeyedRecord deleted = new KeyedRecord(at(1L << 40), "k", Optional.empty());
    return new Object[][] {
      {new FeedMessage.Hello(Place.of("r", "z"))},
      {new FeedMessage.Subscribe(position(1, 2))},
      {new FeedMessage.SubscribeWithSnapshot()},
      {
        new FeedMessage.Snapshot(
            Feed.TARGETS, List.of(new KeyedRecord(at(4), "t", Optional.empty())), at(1L << 33))
      },
      {new FeedMessage.Heartbeat(true, position(1L << 40, 0), true)},
      {new FeedMessage.Records(Feed.TARGETS, List.of(deleted))},
      {
        new FeedMessage.Records(
            Feed.TARGETS, List.of(deleted, new RenewalRecord(at(1L << 41), "r", 1L << 42)))
      },
      {new FeedMessage.Slots(new SlotMessage.Open())},
      {
        new FeedMessage.Crashes(
            new CrashUpdate(
                List.of(
                    new CrashReport(
                        new CrashId(TARGET, 1L << 41),
                        5_000,
                        List.of(new CrashReport.Lost(Digest.of("lost"), 7_000)))),
                List.of(new CrashUpdate.Cleared(Digest.of("answered"), 3_000))))
      },
      {
        new FeedMessage.Slots(
            new SlotMessage.Request(
                1L << 40,
                new RegionName("k"),
                new ServiceName("s"),
                "r",
                new ZoneName("z"),
                Set.of(TARGET),
                Duration.ofMillis(-5),
                Duration.ofMillis(300),
                true,
                Duration.ofSeconds(5)))
      },
      {new FeedMessage.Slots(new SlotMessage.Cancel(7))},
      {
        new FeedMessage.Slots(
            new SlotMessage.Release(
                7,
                TARGET,
                SlotOutcome.NOT_RUN,
                Duration.ofMillis(12),
                Optional.of(new LoadSample(2, 3, 4, 400))))
      },
      {
        new FeedMessage.Slots(
            new SlotMessage.Release(7, TARGET, SlotOutcome.FAILED, Duration.ZERO, Optional.empty()))
      },
      {new FeedMessage.Slots(new SlotMessage.Queued(7))},
      {
        new FeedMessage.Slots(
            new SlotMessage.Offer(
                7, List.of(new SlotMessage.OfferedTarget(TARGET, Optional.empty()))))
      },
      {new FeedMessage.Slots(new SlotMessage.Refusal(7, SlotRefusalReason.FULL))},
    };
  }

  @Test(dataProvider = "messages")
  public void decodedMessageEqualsEncodedMessage(FeedMessage message) throws Exception {
    assertEquals(FeedCodec.decode(FeedCodec.encode(message)), message);
  }

  @Test
  public void recordValuesAreDecodedUnchanged() throws Exception {
    byte[] value = {0, 1, (byte) 0xff};
    FeedMessage message =
        new FeedMessage.Records(
            Feed.OPERATORS, List.of(new KeyedRecord(at(3), "config", Optional.of(value))));
    FeedMessage.Records decoded = (FeedMessage.Records) FeedCodec.decode(FeedCodec.encode(message));
    KeyedRecord record = (KeyedRecord) decoded.records().getFirst();
    assertEquals(record.value().orElseThrow(), value);
  }

  /** A follower without data cannot know what a renewal repeats. */
  @Test
  public void snapshotWithRenewalIsRejected() {
    byte[] snapshot = {16, 1, (byte) 0x91, 1, 4, (byte) 0xa1, 't', 9, 1, 5};
    assertThrows(LinkException.class, () -> FeedCodec.decode(snapshot));
  }

  /**
   * An offset of an earlier release has no era, so it must not be taken for one of this release.
   */
  @Test
  public void messagesOfEarlierReleasesAreRejected() {
    byte[] subscribe = {2, 10, 20};
    byte[] heartbeat = {3, (byte) 0xc3, 10, 20, (byte) 0xc3};
    byte[] records = {4, 0, (byte) 0x90};
    byte[] snapshot = {6, 0, (byte) 0x90, 10};
    for (byte[] message : List.of(subscribe, heartbeat, records, snapshot)) {
      assertThrows(LinkException.class, () -> FeedCodec.decode(message));
    }
  }

  @Test
  public void unknownMessagesAreRejected() {
    SplittableRandom random = new SplittableRandom(7);
    for (int i = 0; i < 200; i++) {
      byte[] bytes = new byte[random.nextInt(12)];
      random.nextBytes(bytes);
      if (bytes.length > 0) {
        bytes[0] = 9;
      }
      assertThrows(LinkException.class, () -> FeedCodec.decode(bytes));
    }
  }
}
