package org.radishpost.slots;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.ZoneName;
import org.radishpost.placement.LoadSample;
import org.radishpost.placement.TargetId;

/**
 * Encodes slot messages as MessagePack. Each message begins with the number of its type; durations
 * are in microseconds.
 */
public final class SlotCodec {
  private static final int OPEN = 1;
  private static final int REQUEST = 2;
  private static final int CANCEL = 3;
  private static final int RELEASE = 4;
  private static final int QUEUED = 5;
  private static final int OFFER = 6;
  private static final int REFUSAL = 7;

  private SlotCodec() {}

  /**
   * Writes a message.
   *
   * @throws IOException if the packer fails
   */
  public static void pack(MessagePacker packer, SlotMessage message) throws IOException {
    switch (message) {
      case SlotMessage.Open open -> packer.packInt(OPEN);
      case SlotMessage.Request request -> packRequest(packer, request);
      case SlotMessage.Cancel cancel -> packHead(packer, CANCEL, cancel.id());
      case SlotMessage.Release release -> packRelease(packer, release);
      case SlotMessage.Queued queued -> packHead(packer, QUEUED, queued.id());
      case SlotMessage.Offer offer -> packOffer(packer, offer);
      case SlotMessage.Refusal refusal -> {
        packHead(packer, REFUSAL, refusal.id());
        packer.packInt(refusal.reason().ordinal());
      }
    }
  }

  /**
   * Reads a message.
   *
   * @throws IOException if the unpacker fails
   * @throws IllegalArgumentException if a value is invalid
   */
  public static SlotMessage unpack(MessageUnpacker unpacker) throws IOException {
    int type = unpacker.unpackInt();
    return switch (type) {
      case OPEN -> new SlotMessage.Open();
      case REQUEST -> unpackRequest(unpacker);
      case CANCEL -> new SlotMessage.Cancel(unpacker.unpackLong());
      case RELEASE -> unpackRelease(unpacker);
      case QUEUED -> new SlotMessage.Queued(unpacker.unpackLong());
      case OFFER -> unpackOffer(unpacker);
      case REFUSAL ->
          new SlotMessage.Refusal(
              unpacker.unpackLong(), value(SlotRefusalReason.values(), unpacker.unpackInt()));
      default -> throw new IllegalArgumentException("unknown slot message " + type);
    };
  }

  private static void packHead(MessagePacker packer, int type, long id) throws IOException {
    packer.packInt(type);
    packer.packLong(id);
  }

  private static void packRequest(MessagePacker packer, SlotMessage.Request request)
      throws IOException {
    packHead(packer, REQUEST, request.id());
    packer.packString(request.region().value());
    packer.packString(request.service().value());
    packer.packString(request.route());
    packer.packString(request.zone().value());
    packer.packArrayHeader(request.excluded().size());
    for (TargetId target : request.excluded()) {
      packer.packString(target.value());
    }
    packDuration(packer, request.respondWithin());
    packDuration(packer, request.maxWait());
    packer.packBoolean(request.hasAlternative());
    packDuration(packer, request.lifetime());
  }

  private static SlotMessage.Request unpackRequest(MessageUnpacker unpacker) throws IOException {
    return new SlotMessage.Request(
        unpacker.unpackLong(),
        new RegionName(unpacker.unpackString()),
        new ServiceName(unpacker.unpackString()),
        unpacker.unpackString(),
        new ZoneName(unpacker.unpackString()),
        unpackTargets(unpacker),
        unpackDuration(unpacker),
        unpackDuration(unpacker),
        unpacker.unpackBoolean(),
        unpackDuration(unpacker));
  }

  private static Set<TargetId> unpackTargets(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackArrayHeader();
    Set<TargetId> targets = new HashSet<>();
    for (int i = 0; i < size; i++) {
      targets.add(new TargetId(unpacker.unpackString()));
    }
    return targets;
  }

  private static void packRelease(MessagePacker packer, SlotMessage.Release release)
      throws IOException {
    packHead(packer, RELEASE, release.id());
    packer.packString(release.target().value());
    packer.packInt(release.outcome().ordinal());
    packDuration(packer, release.serviceTime());
    packLoad(packer, release.load());
  }

  private static SlotMessage.Release unpackRelease(MessageUnpacker unpacker) throws IOException {
    return new SlotMessage.Release(
        unpacker.unpackLong(),
        new TargetId(unpacker.unpackString()),
        value(SlotOutcome.values(), unpacker.unpackInt()),
        unpackDuration(unpacker),
        unpackLoad(unpacker));
  }

  private static void packOffer(MessagePacker packer, SlotMessage.Offer offer) throws IOException {
    packHead(packer, OFFER, offer.id());
    packer.packArrayHeader(offer.targets().size());
    for (SlotMessage.OfferedTarget target : offer.targets()) {
      packer.packString(target.target().value());
      packLoad(packer, target.load());
    }
  }

  private static SlotMessage.Offer unpackOffer(MessageUnpacker unpacker) throws IOException {
    long id = unpacker.unpackLong();
    int size = unpacker.unpackArrayHeader();
    List<SlotMessage.OfferedTarget> targets = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      TargetId target = new TargetId(unpacker.unpackString());
      targets.add(new SlotMessage.OfferedTarget(target, unpackLoad(unpacker)));
    }
    return new SlotMessage.Offer(id, targets);
  }

  private static void packLoad(MessagePacker packer, Optional<LoadSample> load) throws IOException {
    if (load.isEmpty()) {
      packer.packNil();
      return;
    }
    packer.packInt(load.get().running());
    packer.packInt(load.get().waiting());
    packer.packInt(load.get().slots());
    packer.packInt(load.get().slowdownPercent());
  }

  private static Optional<LoadSample> unpackLoad(MessageUnpacker unpacker) throws IOException {
    if (unpacker.tryUnpackNil()) {
      return Optional.empty();
    }
    return Optional.of(
        new LoadSample(
            unpacker.unpackInt(),
            unpacker.unpackInt(),
            unpacker.unpackInt(),
            unpacker.unpackInt()));
  }

  private static void packDuration(MessagePacker packer, Duration duration) throws IOException {
    packer.packLong(TimeUnit.NANOSECONDS.toMicros(duration.toNanos()));
  }

  private static Duration unpackDuration(MessageUnpacker unpacker) throws IOException {
    return Duration.ofNanos(TimeUnit.MICROSECONDS.toNanos(unpacker.unpackLong()));
  }

  private static <T> T value(T[] values, int ordinal) {
    if (ordinal < 0 || ordinal >= values.length) {
      throw new IllegalArgumentException("no value with the number " + ordinal);
    }
    return values[ordinal];
  }
}
