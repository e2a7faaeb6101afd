package org.radishpost.feed;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;
import org.radishpost.errors.LinkException;
import org.radishpost.lib.Place;
import org.radishpost.slots.SlotCodec;
import org.radishpost.suspects.CrashUpdateCodec;

/**
 * Encodes feed messages as MessagePack. Each message begins with the number of its type.
 *
 * <p>The numbers 2, 3, 4 and 6 belong to messages of earlier releases, whose offsets have no era. A
 * VM of an earlier release closes the connection on a number that it does not know, or on a record
 * that is a renewal, and reads the store itself.
 */
public final class FeedCodec {
  private static final int HELLO = 1;
  private static final int SUBSCRIBE_WITH_SNAPSHOT = 5;
  private static final int SLOTS = 7;
  private static final int CRASHES = 8;
  private static final int SUBSCRIBE = 12;
  private static final int HEARTBEAT = 13;
  private static final int RECORDS = 14;
  private static final int SNAPSHOT = 16;

  private FeedCodec() {}

  /** Encodes a message. */
  public static byte[] encode(FeedMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      switch (message) {
        case FeedMessage.Hello hello -> {
          packer.packInt(HELLO);
          packer.packString(hello.place().region().value());
          packer.packString(hello.place().zone().value());
        }
        case FeedMessage.Subscribe subscribe -> {
          packer.packInt(SUBSCRIBE);
          pack(packer, subscribe.from());
        }
        case FeedMessage.Heartbeat heartbeat -> {
          packer.packInt(HEARTBEAT);
          packer.packBoolean(heartbeat.storeReachable());
          pack(packer, heartbeat.position());
          packer.packBoolean(heartbeat.allSent());
        }
        case FeedMessage.Records records -> {
          packer.packInt(RECORDS);
          packer.packInt(records.feed().ordinal());
          packRecords(packer, records.records());
        }
        case FeedMessage.SubscribeWithSnapshot request -> packer.packInt(SUBSCRIBE_WITH_SNAPSHOT);
        case FeedMessage.Snapshot snapshot -> {
          packer.packInt(SNAPSHOT);
          packer.packInt(snapshot.feed().ordinal());
          packRecords(packer, snapshot.records());
          pack(packer, snapshot.nextOffset());
        }
        case FeedMessage.Slots slots -> {
          packer.packInt(SLOTS);
          SlotCodec.pack(packer, slots.message());
        }
        case FeedMessage.Crashes crashes -> {
          packer.packInt(CRASHES);
          CrashUpdateCodec.pack(packer, crashes.update());
        }
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("writing MessagePack into memory failed", e);
    }
  }

  /**
   * Decodes a message.
   *
   * @throws LinkException if the bytes are not a valid message
   */
  public static FeedMessage decode(byte[] bytes) throws LinkException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int kind = unpacker.unpackInt();
      return switch (kind) {
        case HELLO ->
            new FeedMessage.Hello(Place.of(unpacker.unpackString(), unpacker.unpackString()));
        case SUBSCRIBE -> new FeedMessage.Subscribe(position(unpacker));
        case HEARTBEAT ->
            new FeedMessage.Heartbeat(
                unpacker.unpackBoolean(), position(unpacker), unpacker.unpackBoolean());
        case RECORDS -> new FeedMessage.Records(feed(unpacker), records(unpacker));
        case SUBSCRIBE_WITH_SNAPSHOT -> new FeedMessage.SubscribeWithSnapshot();
        case SNAPSHOT ->
            new FeedMessage.Snapshot(feed(unpacker), keyedRecords(unpacker), offset(unpacker));
        case SLOTS -> new FeedMessage.Slots(SlotCodec.unpack(unpacker));
        case CRASHES -> new FeedMessage.Crashes(CrashUpdateCodec.unpack(unpacker));
        default -> throw invalidMessage(null);
      };
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw invalidMessage(e);
    }
  }

  private static void pack(MessageBufferPacker packer, Position position) throws IOException {
    pack(packer, position.operators());
    pack(packer, position.targets());
  }

  private static void pack(MessageBufferPacker packer, TopicOffset offset) throws IOException {
    packer.packLong(offset.era());
    packer.packLong(offset.offset());
  }

  private static void packRecords(MessageBufferPacker packer, List<? extends FeedRecord> records)
      throws IOException {
    packer.packArrayHeader(records.size());
    for (FeedRecord record : records) {
      packRecord(packer, record);
    }
  }

  /** Packs a record; the type of the last value tells a renewal from a value or a deletion. */
  private static void packRecord(MessageBufferPacker packer, FeedRecord record) throws IOException {
    pack(packer, record.offset());
    packer.packString(record.key());
    switch (record) {
      case RenewalRecord renewal -> packer.packLong(renewal.sequence());
      case KeyedRecord keyed -> packValue(packer, keyed.value());
    }
  }

  private static void packValue(MessageBufferPacker packer, Optional<byte[]> value)
      throws IOException {
    if (value.isEmpty()) {
      packer.packNil();
      return;
    }
    packer.packBinaryHeader(value.get().length);
    packer.writePayload(value.get());
  }

  private static Position position(MessageUnpacker unpacker) throws IOException {
    return new Position(offset(unpacker), offset(unpacker));
  }

  private static TopicOffset offset(MessageUnpacker unpacker) throws IOException {
    return new TopicOffset(unpacker.unpackLong(), unpacker.unpackLong());
  }

  private static Feed feed(MessageUnpacker unpacker) throws IOException, LinkException {
    int ordinal = unpacker.unpackInt();
    if (ordinal < 0 || ordinal >= Feed.values().length) {
      throw invalidMessage(null);
    }
    return Feed.values()[ordinal];
  }

  private static List<FeedRecord> records(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackArrayHeader();
    List<FeedRecord> records = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      records.add(record(unpacker));
    }
    return records;
  }

  private static List<KeyedRecord> keyedRecords(MessageUnpacker unpacker)
      throws IOException, LinkException {
    List<KeyedRecord> keyedRecords = new ArrayList<>();
    for (FeedRecord record : records(unpacker)) {
      if (!(record instanceof KeyedRecord keyed)) {
        throw invalidMessage(null);
      }
      keyedRecords.add(keyed);
    }
    return keyedRecords;
  }

  private static FeedRecord record(MessageUnpacker unpacker) throws IOException {
    TopicOffset offset = offset(unpacker);
    String key = unpacker.unpackString();
    if (unpacker.getNextFormat().getValueType() == ValueType.INTEGER) {
      return new RenewalRecord(offset, key, unpacker.unpackLong());
    }
    if (unpacker.tryUnpackNil()) {
      return new KeyedRecord(offset, key, Optional.empty());
    }
    byte[] value = unpacker.readPayload(unpacker.unpackBinaryHeader());
    return new KeyedRecord(offset, key, Optional.of(value));
  }

  private static LinkException invalidMessage(Exception cause) {
    return new LinkException(
        "Invalid feed message: check that both VMs run the same release.", cause);
  }
}
